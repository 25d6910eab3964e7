#pragma once

#include <swiftloft/expertmap/protocol.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <optional>
#include <variant>
#include <vector>

namespace swiftloft::expertmap {

/// An order for the engine with the fencing number under which the agent passes it on.
struct EngineOrder {
    /// The agent's own count; the engine's answer is matched by it.
    std::uint64_t id { 0 };
    FencingNumber fence;
    Order order;
};

namespace rank {

/// An order from a coordinator arrived.
struct OrderReceived {
    RankOrder order;
};
/// The engine answered the order with this id; `status` is its state after the order.
struct EngineResponded {
    std::uint64_t id { 0 };
    EngineStatus status;
    /// Highest fencing number the engine has seen; zero for engines that ignore them.
    FencingNumber fence;
};
/// The connection to the engine broke. Orders in flight may or may not have been taken.
struct EngineDisconnected { };
/// Time passed. Deliver one at least every `Options::engineTimeout`.
struct Ticked { };

using Event = std::variant<OrderReceived, EngineResponded, EngineDisconnected, Ticked>;

/// Write to the engine.
struct SendToEngine {
    EngineOrder order;
};
/// Send to the coordinator with this incarnation.
struct SendReport {
    Incarnation to;
    RankReport report;
};
/// Send to the process at the address of rank 0.
struct SendHello {
    RankHello hello;
};
/// An order with an older fencing number was refused; for the log.
struct OrderRefused {
    RankOrder order;
};

using Effect = std::variant<SendToEngine, SendReport, SendHello, OrderRefused>;
using Effects = std::vector<Effect>;

} // namespace rank

/// The rank's side of a map change, run by the agent in the slot of each rank (that of rank 0 too).
///
/// It passes the coordinator's orders on to its engine, one at a time, and reports what the engine says. It keeps
/// nothing that it needs after a restart: a new agent reads the engine first and passes nothing on before.
class RankAgent {
public:
    struct Options {
        RankIndex rank;
        Incarnation incarnation;
        /// From the settings of the backend server. When false, the agent is the fence: it reads the engine again just
        /// before each order and passes the order on only if it still fits.
        bool engineChecksFences { false };
        /// After this long without an answer, the engine is read again.
        milliseconds engineTimeout { 50 };
        /// An engine that waits longer than this makes the agent ask rank 0.
        milliseconds helloInterval { 25 };
    };

    /// Fails with `InvalidArgument` when a time is not positive or the incarnation is zero.
    static Result<RankAgent> create(const Options& options);

    /// The first effects of a life: read the engine, say hello.
    rank::Effects start(TimePoint now);
    rank::Effects apply(TimePoint now, const rank::Event& event);

    const std::optional<EngineStatus>& status() const { return m_status; }
    FencingNumber promised() const { return m_promised; }
    /// True while the engine waits for a decision: armed and not released, or not admitted.
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
    /// The newest order that arrived meanwhile; older ones are superseded, the coordinator repeats what it needs.
    std::optional<RankOrder> m_nextOrder;
    /// The engine's state was read for `m_current`, so that its order itself is now in flight.
    bool m_isOrderSent { false };
    bool m_isInFlight { false };
    std::uint64_t m_lastId { 0 };
    TimePoint m_engineDeadline;
    TimePoint m_nextHelloAt;
};

} // namespace swiftloft::expertmap
