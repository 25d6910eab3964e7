#pragma once

#include "src/gateway/async-dispatcher.h"
#include "src/gateway/downstream-connection.h"
#include "src/gateway/event-splitter.h"
#include "src/gateway/protocol.h"
#include "src/gateway/response-memory.h"
#include "src/gateway/startup-queue.h"
#include "src/gateway/upstream-pool.h"
#include "src/process/metrics.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <random>
#include <variant>

namespace swiftloft::gateway {

using ResponseParser = http::response_parser<http::buffer_body>;

/// Serves client requests: looks up the route, asks the dispatcher for a decision, sends the request to a backend server and
/// forwards the response. Must only be used on the traffic thread, which owns the sockets.
class RequestServer {
public:
    using SnapshotSource = std::function<std::shared_ptr<const Snapshot>()>;

    RequestServer(AsyncDispatcher& dispatcher, UpstreamPool& pool, const Protocol& protocol, process::SharedMetrics& metrics, SnapshotSource snapshot, bool waitsAtStart, std::size_t maxResponseBytes = ResponseMemory::maxBytes);

    /// Responds to `request`. Throws if the client's connection fails. Returns false if the connection must be closed
    /// afterwards.
    boost::asio::awaitable<bool> serve(DownstreamConnection& client, ClientRequest request);
    /// The snapshot has changed.
    void onSnapshotChanged();
    /// The entry is being stopped.
    void onStopping() { m_startupQueue.close(); }
    /// Reports to the dispatcher if the server's address refuses connections.
    boost::asio::awaitable<void> probe(BackendServer server);
    /// Responds to a request that could not be read, and closes the connection.
    boost::asio::awaitable<void> rejectUnreadable(DownstreamConnection& client, ReadError error);

private:
    struct Call;
    struct Response;
    struct Takeover;

    boost::asio::awaitable<void> respond(Call& call, http::status status, std::string_view reason, std::optional<TimePoint> retryAt = std::nullopt);
    /// Destroys the body of a request that is not sent to a server any more.
    static void releaseBody(Call& call);
    boost::asio::awaitable<void> run(Call& call);
    static void cancelAttempt(Call& call);
    boost::asio::awaitable<CallDecision> attempt(Call& call, dispatch::StartAttempt start);
    /// Counts and logs the start of an attempt. `retries` is unset for the first attempt of a request.
    void recordAttemptStart(Call& call, const BackendServer& server, std::uint32_t running, const std::optional<RequestRate>& limit, const std::optional<RetryUse>& retries);
    static void logFailedAttempt(Call& call, const BackendServerId& server, AttemptOutcome outcome);
    boost::asio::awaitable<AttemptOutcome> exchange(Call& call, const BackendServer& server);
    /// Opens a connection, or returns why there is none.
    boost::asio::awaitable<std::variant<AttemptOutcome, UpstreamConnectionPtr>> acquireConnection(Call& call, const BackendServer& server);
    /// Returns how the attempt has failed, if it has.
    boost::asio::awaitable<std::optional<AttemptOutcome>> sendRequest(Call& call, const BackendServer& server, UpstreamConnection& connection);
    boost::asio::awaitable<AttemptOutcome> readResponse(Call& call, UpstreamConnectionPtr connection);
    /// Reads up to the head of the final response, or returns how the attempt has failed. The response is that of another server
    /// if that has taken the request over.
    boost::asio::awaitable<std::variant<AttemptOutcome, Response>> readHead(Call& call, UpstreamConnectionPtr connection);
    /// Follows `StartTakeover`: interrupts the read from the current server.
    void offerTakeover(Call& call, const dispatch::StartTakeover& start);
    /// Ends a read from the current server. Returns true if it was interrupted by an offer, which `takeOver` must follow.
    static bool isOffered(Call& call, const boost::system::error_code& ec);
    /// Asks another server to take the request over from `current`. Returns its response, or nothing if `current` keeps the request.
    boost::asio::awaitable<std::optional<Response>> takeOver(Call& call, UpstreamConnection& current);
    boost::asio::awaitable<std::variant<AttemptOutcome, Response>> requestTakeover(Call& call, const BackendServer& server, Takeover& takeover);
    void recordInvalidHead(const Call& call, const ServerIncarnation& server, const boost::system::error_code& ec);
    void recordLimit(const Call& call, const UpstreamConnection& connection, const ResponseHead& head);
    void recordBackOff(const Call& call, const ServerIncarnation& server, const ResponseHead& head);
    void recordLeaving(const Call& call, const ServerIncarnation& server, const ResponseHead& head);
    bool isTorn(const Call& call, const UpstreamConnection& connection) const;
    boost::asio::awaitable<AttemptOutcome> forwardWhole(Call& call, Response response);
    boost::asio::awaitable<AttemptOutcome> forwardStream(Call& call, Response response);
    boost::asio::awaitable<bool> forwardEvents(Call& call, std::string_view bytes);
    void releaseConnection(UpstreamConnectionPtr connection, const ResponseParser& parser);
    boost::asio::awaitable<void> refuse(Call& call, const dispatch::Refuse& refusal);
    boost::asio::awaitable<void> forwardServerError(Call& call, const dispatch::ForwardError& effect);
    void logOutcome(Call& call) const;
    /// Counts the first decision about a request.
    void countAdmission(const Call& call, const CallDecision& decision) const;
    void recordMetrics(const Call& call, bool isServed, TimePoint now) const;

    AsyncDispatcher& m_dispatcher;
    UpstreamPool& m_pool;
    const Protocol& m_protocol;
    process::SharedMetrics& m_metrics;
    SnapshotSource m_snapshot;
    StartupQueue m_startupQueue;
    ResponseMemory m_responseMemory;
    policy::Generator m_generator { std::random_device {}() };
};

} // namespace swiftloft::gateway
