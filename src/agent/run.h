#pragma once

#include "src/agent/engine-client.h"
#include "src/agent/events.h"
#include "src/agent/replay-buffer.h"
#include "src/rpc/body-digest.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <kj/async.h>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace swiftloft::agent {

/// A request as the engine is to get it.
struct EngineRequest {
    boost::beast::http::request<boost::beast::http::string_body> message;
    bool isRepeatable { false };
};

/// How one call about a request ended.
struct CallOutcome {
    OutcomeKind kind;
    Verdict verdict;
    Reason reason;
    policy::CrashId crash;
};

/// One request at the engine: sends it, buffers the tail of the answer and passes it on to any number of calls, each at
/// its own offset. Belongs to the traffic thread.
class Run : public std::enable_shared_from_this<Run> {
public:
    using OnEnded = std::function<void(RunEnd)>;

    Run(boost::asio::io_context& ioContext, EngineClient& engine, EngineRequest request, TimePoint deadline, std::size_t bufferBytes);
    ~Run();

    /// Called once, when the request has ended at the engine or never got there.
    void setOnEnded(OnEnded onEnded) { m_onEnded = std::move(onEnded); }

    void start();

    /// Stops the request at the engine by closing its connection; one that has not been started never will be.
    void stop();

    /// A broken request gets its end: it is known whether the engine crashed with it.
    void conclude(policy::CrashId crash);

    /// Sends frames from body offset `offset` on to `sink` until the answer ends.
    kj::Promise<CallOutcome> attach(std::uint64_t offset, bool needsHead, rpc::schema::FrameSink::Client sink);

private:
    struct Subscriber {
        rpc::schema::FrameSink::Client sink;
        std::uint64_t offset;
        bool needsHead;
    };

    boost::asio::awaitable<RunEnd> execute();
    boost::asio::awaitable<void> readBody(boost::beast::tcp_stream& stream);
    boost::asio::awaitable<void> waitForRoom();
    bool hasRoom() const;
    void finish(RunEnd end);
    void wakeSubscribers();
    kj::Promise<void> untilChanged();
    kj::Promise<CallOutcome> pump(std::shared_ptr<Subscriber> subscriber);
    kj::Promise<void> sendFrame(Subscriber& subscriber, std::string_view bytes, bool isLast);
    CallOutcome failureOutcome() const;

    boost::asio::io_context& m_ioContext;
    EngineClient& m_engine;
    EngineRequest m_request;
    TimePoint m_deadline;
    std::size_t m_bufferBytes;
    OnEnded m_onEnded;
    boost::asio::cancellation_signal m_cancellation;
    bool m_isStarted { false };
    bool m_isStopped { false };
    bool m_wasSent { false };

    std::optional<boost::beast::http::response_header<>> m_head;
    ReplayBuffer m_buffer;
    rpc::BodyDigest m_digest;
    std::optional<RunEnd> m_end;
    policy::CrashId m_crash;

    std::list<std::weak_ptr<Subscriber>> m_subscribers;
    /// Offset up to which the slowest attached call, or the last one that was, has been served.
    std::uint64_t m_served { 0 };
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> m_waiting;
    boost::asio::steady_timer m_room;
};

} // namespace swiftloft::agent
