#pragma once

#include "src/agent/engine-connection-pool.h"
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

/// HTTP request to send to the engine.
struct EngineRequest {
    boost::beast::http::request<boost::beast::http::string_body> message;
    bool isRepeatable { false };
};

/// Result of one call that refers to a request.
struct CallOutcome {
    OutcomeKind kind;
    Verdict verdict;
    Reason reason;
    policy::CrashId crash;
};

/// Runs one request at the engine. Sends the request, buffers the tail of the response and forwards the response to any
/// number of calls, each at its own offset. Belongs to the traffic thread.
class EngineRun : public std::enable_shared_from_this<EngineRun> {
public:
    /// `bytes` is what is kept of the response.
    using OnEnded = std::function<void(RunOutcome outcome, std::size_t bytes)>;

    EngineRun(boost::asio::io_context& ioContext, EngineConnectionPool& engine, EngineRequest request, TimePoint deadline, std::size_t bufferBytes);
    ~EngineRun();

    /// Sets a callback that is called once, when the request has ended at the engine or can no longer be sent to it.
    void setOnEnded(OnEnded onEnded) { m_onEnded = std::move(onEnded); }

    void start();

    /// Stops the request at the engine by closing its connection. A request that has not started never will.
    void stop();

    /// Ends a broken request, now that it is known whether the engine crashed. `crash` is 0 if it did not.
    void conclude(policy::CrashId crash);

    /// Sends frames from body offset `offset` on to `sink` until the response ends. Resolves to a refusal if the buffer no
    /// longer holds the bytes at `offset`.
    kj::Promise<CallOutcome> attach(std::uint64_t offset, bool needsHead, rpc::schema::FrameSink::Client sink);

private:
    struct Subscriber {
        rpc::schema::FrameSink::Client sink;
        std::uint64_t offset;
        bool needsHead;
    };

    boost::asio::awaitable<RunOutcome> execute();
    boost::asio::awaitable<void> readBody(boost::beast::tcp_stream& stream);
    boost::asio::awaitable<void> waitForBufferSpace();
    std::size_t bufferSpace() const;
    void finish(RunOutcome outcome);
    void wakeSubscribers();
    kj::Promise<void> waitForChange();
    kj::Promise<CallOutcome> pump(std::shared_ptr<Subscriber> subscriber);
    kj::Promise<void> sendFrame(Subscriber& subscriber, std::string_view bytes, bool isLast);
    CallOutcome failureOutcome() const;

    boost::asio::io_context& m_ioContext;
    EngineConnectionPool& m_engine;
    EngineRequest m_request;
    TimePoint m_deadline;
    std::size_t m_bufferBytes;
    OnEnded m_onEnded;
    boost::asio::cancellation_signal m_cancellation;
    bool m_isStarted { false };
    bool m_isStopped { false };
    bool m_wasSent { false };

    std::optional<boost::beast::http::response_header<>> m_responseHead;
    ReplayBuffer m_buffer;
    rpc::BodyDigest m_digest;
    std::optional<RunOutcome> m_outcome;
    policy::CrashId m_crash;

    std::list<std::weak_ptr<Subscriber>> m_subscribers;
    /// Offset up to which the response was sent to the last call served. While no call is attached, it limits how far
    /// the response is read from the engine.
    std::uint64_t m_servedOffset { 0 };
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> m_waiters;
    boost::asio::steady_timer m_bufferSpaceTimer;
};

} // namespace swiftloft::agent
