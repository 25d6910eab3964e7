#pragma once

#include "src/gateway/call-desk.h"
#include "src/gateway/client-stream.h"
#include "src/gateway/event-splitter.h"
#include "src/gateway/protocol.h"
#include "src/gateway/upstream.h"
#include "src/process/metrics.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <random>

namespace swiftloft::gateway {

/// Serves one request after the other: looks up its route, asks the dispatcher, talks to the backend server and passes
/// the answer on. Belongs to the traffic thread.
class RequestServer {
public:
    using SnapshotSource = std::function<std::shared_ptr<const Snapshot>()>;

    RequestServer(CallDesk& desk, UpstreamPool& pool, const Protocol& protocol, process::SharedMetrics& metrics, SnapshotSource snapshot);

    /// Answers `request`. Throws when the client's connection breaks; the connection must be closed when this returns false.
    boost::asio::awaitable<bool> serve(ClientStream& client, ClientRequest request);
    /// Answers a request that could not be read.
    boost::asio::awaitable<void> refuseUnread(ClientStream& client, ReadProblem problem);

private:
    struct Call;

    boost::asio::awaitable<void> answer(Call& call, http::status status, std::string_view reason, std::optional<TimePoint> retryAt = std::nullopt);
    boost::asio::awaitable<void> run(Call& call);
    static void takeBack(Call& call);
    boost::asio::awaitable<CallDecision> attempt(Call& call, dispatch::StartAttempt start);
    boost::asio::awaitable<AttemptOutcome> exchange(Call& call, const BackendServer& server);
    boost::asio::awaitable<UpstreamConnectionPtr> connectionFor(Call& call, const BackendServer& server);
    boost::asio::awaitable<AttemptOutcome> readAnswer(Call& call, UpstreamConnectionPtr connection);
    void noteLimit(const Call& call, const ServerIncarnation& server, const ResponseHead& head);
    void noteRest(const Call& call, const ServerIncarnation& server, const ResponseHead& head);
    void noteLeaving(const Call& call, const ServerIncarnation& server, const ResponseHead& head);
    boost::asio::awaitable<AttemptOutcome> takeWhole(Call& call, UpstreamConnectionPtr connection, http::response_parser<http::buffer_body>& parser);
    boost::asio::awaitable<AttemptOutcome> relay(Call& call, UpstreamConnectionPtr connection, http::response_parser<http::buffer_body>& parser);
    boost::asio::awaitable<bool> passEvents(Call& call, std::string_view bytes);
    void recycle(UpstreamConnectionPtr connection, const http::response_parser<http::buffer_body>& parser);
    boost::asio::awaitable<void> finish(Call& call, const dispatch::Refuse& refusal);
    boost::asio::awaitable<void> passOn(Call& call);
    void logEnd(const Call& call) const;
    void count(const Call& call, bool isServed, TimePoint now) const;

    CallDesk& m_desk;
    UpstreamPool& m_pool;
    const Protocol& m_protocol;
    process::SharedMetrics& m_metrics;
    SnapshotSource m_snapshot;
    policy::Generator m_generator { std::random_device {}() };
};

} // namespace swiftloft::gateway
