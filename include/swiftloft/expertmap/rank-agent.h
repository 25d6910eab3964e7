#pragma once

#include <swiftloft/expertmap/protocol.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <optional>
#include <variant>
#include <vector>

namespace swiftloft::expertmap {

/// An order for the engine, with the fencing number under which the agent forwards it.
struct EngineOrder {
    /// Sequence number of the agent's orders; the engine's response carries the same id.
    std::uint64_t id { 0 };
    FencingNumber fence;
    Order order;
};

namespace rank {

/// An order from a coordinator has arrived.
struct OrderReceived {
    RankOrder order;
};
/// The engine has responded to the order with this id. `status` is its state after the order.
struct EngineResponded {
    std::uint64_t id { 0 };
    EngineStatus status;
    /// Highest fencing number that the engine has seen; zero for engines that ignore fencing numbers.
    FencingNumber fence;
};
/// The connection to the engine is lost. Orders in flight may or may not have been carried out.
struct EngineDisconnected { };
/// Time has passed. The caller delivers this event at least every `Options::engineTimeout`.
struct Ticked { };

using Event = std::variant<OrderReceived, EngineResponded, EngineDisconnected, Ticked>;

/// Send the order to the engine.
struct SendToEngine {
    EngineOrder order;
};
/// Send the report to the coordinator with this incarnation.
struct SendReport {
    Incarnation to;
    RankReport report;
};
/// Send the hello to the process at the address of rank 0.
struct SendHello {
    RankHello hello;
};
/// An order with an outdated fencing number was refused; for the log.
struct OrderRefused {
    RankOrder order;
};

using Effect = std::variant<SendToEngine, SendReport, SendHello, OrderRefused>;
using Effects = std::vector<Effect>;

} // namespace rank

/// The rank's side of a map change, run by the agent of each rank, rank 0 included.
///
/// The agent forwards the coordinator's orders to its engine, one at a time, and reports the engine's status. It keeps
/// no state that is needed after a restart: a new agent reads the engine's status before it forwards any order.
class RankAgent {
public:
    struct Options {
        RankIndex rank;
        Incarnation incarnation;
        /// True when the engine itself refuses orders with an outdated fencing number, according to the settings of the
        /// backend server. When false, the agent does this check: it reads the engine's status just before each order
        /// and forwards the order only if it is still valid.
        bool engineChecksFences { false };
        /// Time without a response after which the engine is read again.
        milliseconds engineTimeout { 50 };
        /// While the engine waits for a decision, the agent sends a hello to rank 0 after this time and again at this
        /// interval.
        milliseconds helloInterval { 25 };
    };

    /// Fails with `InvalidArgument` when a time is not positive or the incarnation is zero.
    static Result<RankAgent> create(const Options& options);

    /// Returns the first effects of a new agent: read the engine's status and send a hello.
    rank::Effects start(TimePoint now);
    rank::Effects apply(TimePoint now, const rank::Event& event);

    const std::optional<EngineStatus>& status() const { return m_status; }
    FencingNumber promised() const { return m_promised; }
    /// True while the engine waits for a decision: it is armed and not released, it is not admitted, or its status is
    /// not known.
    bool isEngineWaiting() const;

private:
    explicit RankAgent(const Options& options);

    void onOrder(TimePoint now, const RankOrder& order, rank::Effects& effects);
    void onEngineResponse(TimePoint now, const rank::EngineResponded& response, rank::Effects& effects);
    void onTick(TimePoint now, rank::Effects& effects);
    void startNextOrder(TimePoint now, rank::Effects& effects);
    void sendToEngine(TimePoint now, const Order& order, rank::Effects& effects);
    bool isStillValid(const RankOrder& order) const;
    void sendReport(rank::Effects& effects);
    void resetEngineState();

    Options m_options;
    FencingNumber m_promised;
    std::optional<EngineStatus> m_status;
    /// The coordinator's order that is being carried out.
    std::optional<RankOrder> m_currentOrder;
    /// The newest order that arrived while `m_currentOrder` was being carried out. Older ones are dropped, because the
    /// coordinator repeats the orders that it still needs.
    std::optional<RankOrder> m_nextOrder;
    /// True once the order of `m_currentOrder` itself has been sent, after any read of the engine's status that
    /// precedes it.
    bool m_isOrderSent { false };
    bool m_isInFlight { false };
    std::uint64_t m_lastId { 0 };
    TimePoint m_engineDeadline;
    TimePoint m_nextHelloAt;
};

} // namespace swiftloft::expertmap
