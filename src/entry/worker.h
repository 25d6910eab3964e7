#pragma once

#include "src/entry/agent-link.h"
#include "src/entry/events.h"
#include "src/entry/exchange.h"
#include "src/process/outbox.h"
#include "src/process/request-reader.h"
#include "src/process/status-server.h"
#include "src/rpc/event-loop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace swiftloft::entry {

struct WorkerOptions {
    WorkerIndex index;
    Incarnation incarnation;
    std::string entry;
    boost::asio::ip::tcp::endpoint listen;
    /// What clients can make this thread keep.
    process::ClientBounds::Options bounds;
};

/// A traffic thread of an entry, the process that accepts client requests and sends them to backend servers. Owns client
/// connections, links to agents and the responses in transit between them. The worker makes no decisions about requests:
/// it posts events to the control thread and carries out the effects that the reducer returns. The reducer (`Reducer`)
/// is the state machine on the control thread that makes these decisions.
class Worker {
public:
    struct Hooks {
        /// Posts events to the control thread, in order.
        std::function<void(std::vector<Event>)> post;
        /// Requests a status page. Called on the worker's thread; `reply` may be called on any thread.
        std::function<void(std::string target, std::function<void(process::StatusAnswer)> reply)> statusPage;
        /// Called each time the worker receives `Finish` and has no open exchange. A worker with open exchanges ignores
        /// `Finish`; the reducer repeats it on each tick until all workers are idle.
        std::function<void()> onFinished;
    };

    Worker(WorkerOptions options, Hooks hooks);
    ~Worker();

    /// Runs the thread's event loop. Returns after `stop`.
    void run();
    void stop() { m_loop.stop(); }

    /// Carries out effects. May be called on any thread.
    void perform(std::shared_ptr<const Effects> effects);

private:
    using Stream = boost::beast::tcp_stream;

    void tickLinks();
    void listen();
    void accept();
    void closeListener();
    void acceptLater();
    boost::asio::awaitable<void> serve(Stream stream);
    /// Responds to a request that could not be read, and closes the connection.
    boost::asio::awaitable<void> rejectUnreadable(Stream& stream, process::RequestReader& reader, process::ReadError error);
    boost::asio::awaitable<bool> writeResponse(Stream& stream, process::RequestReader& reader, std::shared_ptr<Exchange> exchange);
    std::shared_ptr<Exchange> beginExchange(ClientMessage message);
    void requestStatusPage(const std::shared_ptr<Exchange>& exchange);
    void endExchange(const std::shared_ptr<Exchange>& exchange);
    void watchForClose(Stream& stream, const std::shared_ptr<Exchange>& exchange);

    void on(const StartAttempt& effect);
    void on(const SendClaim& effect);
    void on(const SendRelease& effect);
    void on(const CancelAttempt& effect);
    void on(const RefuseRequest& effect);
    void on(const AbortResponse& effect);
    void on(const OpenLink& effect);
    void on(const CloseLink& effect);
    void on(const PublishSuspicions& effect);
    void on(const SendLendingMessage&) { }
    void on(const RecordCompletion&) { }
    void on(const AnnounceLeaving&) { m_isLeaving = true; }
    void on(const CloseListeners& effect);
    void on(const Finish& effect);

    std::shared_ptr<Exchange> findExchange(RequestId id) const;
    void pushPart(RequestId id, ResponsePart part);
    void dropAttempt(RequestId id);

    WorkerOptions m_options;
    Hooks m_hooks;
    process::ClientBounds m_bounds;
    swiftloft::rpc::EventLoop m_loop;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    boost::asio::steady_timer m_linkTimer;
    process::Outbox<Event> m_outbox;
    std::uint64_t m_lastRequest { 0 };
    bool m_isLeaving { false };
    std::unordered_map<RequestId, std::shared_ptr<Exchange>> m_exchanges;
    std::unordered_map<RequestId, std::shared_ptr<Attempt>> m_attempts;
    std::unordered_map<BackendServerId, std::shared_ptr<AgentLink>> m_links;
};

} // namespace swiftloft::entry
