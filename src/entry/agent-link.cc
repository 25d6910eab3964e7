#include "src/entry/agent-link.h"

#include "src/rpc/convert.h"

#include <algorithm>

namespace swiftloft::entry {

namespace {

constexpr std::size_t maxBackgroundCalls = 256;

AgentReport toReport(rpc::schema::Report::Reader from)
{
    AgentReport report;
    report.incarnation = Incarnation(from.getIncarnation());
    report.isLeaving = from.getIsLeaving();
    report.isEngineUp = from.getIsEngineUp();
    report.isReserved = from.getIsReserved();
    report.pending = Tokens(from.getPendingTokens());
    report.tokensPerSecond = from.getTokensPerSecond();
    report.epoch = policy::MintEpoch(from.getEpoch());
    report.suspicions = rpc::toSuspicions(from.getSuspicions());
    return report;
}

} // namespace

struct AgentLink::Connection {
    explicit Connection(boost::asio::ip::tcp::socket socket)
        : rpc(std::move(socket))
        , agent(rpc.bootstrap().castAs<rpc::schema::Agent>())
    {
    }

    swiftloft::rpc::ClientConnection rpc;
    rpc::schema::Agent::Client agent;
    std::optional<Incarnation> incarnation;
    bool isBroken { false };
    /// Set while a heartbeat is unanswered.
    std::optional<TimePoint> heartbeatDeadline;
    TimePoint nextHeartbeat {};
    kj::Promise<void> heartbeat { nullptr };
    kj::Promise<void> disconnect { nullptr };
    /// Calls that are in progress and whose results are ignored.
    std::vector<kj::Promise<void>> backgroundCalls;
};

struct AgentLink::PendingClaim {
    policy::ClaimRequest request;
    TimePoint deadline;
    OnClaimReply onReply;
    kj::Promise<void> call { nullptr };

    void complete(std::optional<policy::ClaimReply> reply)
    {
        auto hook = std::move(onReply);
        onReply = nullptr;
        if (hook)
            hook(std::move(reply));
    }
};

AgentLink::AgentLink(boost::asio::io_context& ioContext, boost::asio::ip::tcp::endpoint endpoint, AgentLinkOptions options, Hooks hooks)
    : m_ioContext(ioContext)
    , m_endpoint(std::move(endpoint))
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

AgentLink::~AgentLink() = default;

void AgentLink::start()
{
    connect();
}

void AgentLink::stop()
{
    m_isStopped = true;
    m_connectingSocket.reset();
    auto attempts = std::move(m_attempts);
    m_attempts.clear();
    for (auto& attempt : attempts)
        attempt->end(AttemptOutcome::Lost, Verdict::MayHaveRun, AttemptReason::Other);
    expireClaims(TimePoint::max());
    m_candidate.reset();
    m_current.reset();
}

void AgentLink::startAttempt(std::shared_ptr<Attempt> attempt)
{
    if (!m_current || m_reattachDeadline)
        return attempt->end(AttemptOutcome::Lost, Verdict::NotRun, AttemptReason::Other);
    // The ticket names the agent incarnation that was known when the attempt was created. Another incarnation must not
    // run the attempt under this ticket. The attempt has not been sent yet, so it has not run.
    if (m_current->incarnation != attempt->spec().ticket.agentIncarnation)
        return attempt->end(AttemptOutcome::Refused, Verdict::NotRun, AttemptReason::WrongIncarnation);
    attempt->startCall(m_current->agent, Clock::now());
    removeEndedAttempts();
    m_attempts.push_back(std::move(attempt));
}

void AgentLink::cancel(const std::shared_ptr<Attempt>& attempt)
{
    attempt->abandon();
    std::erase(m_attempts, attempt);
    if (!m_current)
        return;
    auto call = m_current->agent.cancelRequest();
    rpc::fill(call.initTicket(), attempt->spec().ticket);
    m_current->backgroundCalls.push_back(call.send().ignoreResult().eagerlyEvaluate([](kj::Exception&&) {}));
}

void AgentLink::sendClaim(const policy::ClaimRequest& request, TimePoint deadline, OnClaimReply onReply)
{
    auto pending = std::make_shared<PendingClaim>();
    pending->request = request;
    pending->deadline = deadline;
    pending->onReply = std::move(onReply);
    m_claims.push_back(pending);
    if (m_current && !m_reattachDeadline)
        return callClaim(pending);
    // Usually the agent is healthy and only the connection has failed; a new connection is established soon.
    pending->deadline = std::min(deadline, Clock::now() + m_options.reconnectTimeout);
}

void AgentLink::callClaim(const std::shared_ptr<PendingClaim>& pending)
{
    auto call = m_current->agent.claimRequest();
    rpc::fill(call.initClaim(), pending->request);
    auto weak = std::weak_ptr(pending);
    pending->call = call.send().then(
                                   [weak, id = pending->request.claim](auto&& response) {
                                       if (auto pending = weak.lock())
                                           pending->complete(rpc::toClaimReply(response.getReply(), id));
                                   },
                                   [weak](kj::Exception&&) {
                                       if (auto pending = weak.lock())
                                           pending->complete(std::nullopt);
                                   })
                        .eagerlyEvaluate(nullptr);
}

void AgentLink::expireClaims(TimePoint upTo)
{
    for (auto& pending : std::vector(m_claims)) {
        if (pending->deadline <= upTo)
            pending->complete(std::nullopt);
    }
    std::erase_if(m_claims, [](auto& pending) { return !pending->onReply; });
}

void AgentLink::sendRelease(const policy::ClaimRequest& request)
{
    if (!m_current)
        return;
    auto call = m_current->agent.releaseRequest();
    rpc::fill(call.initClaim(), request);
    m_current->backgroundCalls.push_back(call.send().ignoreResult().eagerlyEvaluate([](kj::Exception&&) {}));
}

void AgentLink::setSuspicions(std::vector<policy::SuspicionMessage> suspicions, bool isUrgent)
{
    m_suspicions = std::move(suspicions);
    if (!isUrgent || !m_current || m_reattachDeadline || m_current->heartbeatDeadline)
        return;
    sendHeartbeat(*m_current, Clock::now());
}

void AgentLink::tick(TimePoint now)
{
    removeEndedAttempts();
    checkConnections(now);
    failExpiredAttempts(now);
    expireClaims(now);
}

void AgentLink::checkConnections(TimePoint now)
{
    if (m_candidate && (m_candidate->isBroken || (m_candidate->heartbeatDeadline && *m_candidate->heartbeatDeadline <= now)))
        m_candidate.reset();
    if (m_connectingSocket && m_connectDeadline <= now)
        m_connectingSocket.reset();
    if (m_current && (m_current->isBroken || (m_current->heartbeatDeadline && *m_current->heartbeatDeadline <= now)))
        markDown(now);
    if (m_reattachDeadline || !m_current) {
        if (!m_candidate && !m_connectingSocket)
            connect();
        return;
    }
    if (m_current->backgroundCalls.size() > maxBackgroundCalls)
        m_current->backgroundCalls.clear();
    if (!m_current->heartbeatDeadline && m_current->nextHeartbeat <= now)
        sendHeartbeat(*m_current, now);
}

void AgentLink::sendHeartbeat(Connection& connection, TimePoint now)
{
    connection.heartbeatDeadline = now + m_options.heartbeatTimeout;
    connection.nextHeartbeat = now + m_options.heartbeatInterval;
    auto call = connection.agent.reportRequest();
    rpc::schema::Agent::ReportParams::Builder params = call;
    rpc::fillSuspicions(params, m_suspicions);
    connection.heartbeat = call.send().then([this, &connection](auto&& response) { onHeartbeat(connection, response.getReport()); }, [&connection](kj::Exception&&) { connection.isBroken = true; }).eagerlyEvaluate(nullptr);
}

void AgentLink::onHeartbeat(Connection& connection, rpc::schema::Report::Reader from)
{
    auto report = toReport(from);
    connection.heartbeatDeadline.reset();
    connection.incarnation = report.incarnation;
    if (&connection == m_candidate.get()) {
        // The promise that is running now belongs to the candidate, which stays alive, so the old connection can be
        // destroyed.
        promoteCandidate();
    }
    m_hooks.onReport(report);
}

void AgentLink::connect()
{
    auto socket = std::make_shared<boost::asio::ip::tcp::socket>(m_ioContext);
    m_connectingSocket = socket;
    m_connectDeadline = Clock::now() + m_options.heartbeatTimeout;
    socket->async_connect(m_endpoint, [self = shared_from_this(), socket](boost::system::error_code ec) {
        if (self->m_connectingSocket != socket || self->m_isStopped)
            return;
        // A stopped agent refuses connections immediately. Without the delay the link would try to connect in a busy
        // loop.
        if (ec) {
            self->m_connectDeadline = Clock::now() + self->m_options.heartbeatInterval;
            return;
        }
        self->m_connectingSocket.reset();
        self->onConnected(std::move(*socket));
    });
}

void AgentLink::onConnected(boost::asio::ip::tcp::socket socket)
{
    m_candidate = std::make_unique<Connection>(std::move(socket));
    auto& connection = *m_candidate;
    connection.disconnect = connection.rpc.onDisconnect().then([&connection]() { connection.isBroken = true; }).eagerlyEvaluate([&connection](kj::Exception&&) { connection.isBroken = true; });
    sendHeartbeat(connection, Clock::now());
}

void AgentLink::promoteCandidate()
{
    m_current = std::move(m_candidate);
    m_reattachDeadline.reset();
    removeEndedAttempts();
    auto now = Clock::now();
    for (auto& attempt : std::vector(m_attempts)) {
        if (attempt->spec().ticket.agentIncarnation == *m_current->incarnation)
            attempt->startCall(m_current->agent, now);
        else
            attempt->end(AttemptOutcome::Lost, Verdict::MayHaveRun, AttemptReason::WrongIncarnation);
    }
    removeEndedAttempts();
    // Claims are idempotent: a home that has granted a claim grants the same claim again.
    for (auto& pending : m_claims)
        callClaim(pending);
}

void AgentLink::markDown(TimePoint now)
{
    if (m_reattachDeadline)
        return;
    m_reattachDeadline = now + m_options.reattachTimeout;
    m_reconnectDeadline = now + m_options.reconnectTimeout;
    m_hooks.onDown();
}

// Retrying a repeatable request on another server loses little work while it has no response yet, but the retry
// consumes retry budget. When many connections stop responding together, the budget is soon exhausted. The remaining
// requests would then be refused, although new connections work and the agents are running. The link therefore first
// waits for a new connection, which costs no retry.
void AgentLink::failRepeatableAttempts()
{
    for (auto& attempt : std::vector(m_attempts)) {
        if (attempt->spec().isRepeatable && !attempt->hasResponseHead())
            attempt->end(AttemptOutcome::Lost, Verdict::MayHaveRun, AttemptReason::Other);
    }
    removeEndedAttempts();
}

void AgentLink::failExpiredAttempts(TimePoint now)
{
    if (m_reattachDeadline && m_reconnectDeadline <= now)
        failRepeatableAttempts();
    if (!m_reattachDeadline || now < *m_reattachDeadline)
        return;
    auto attempts = std::move(m_attempts);
    m_attempts.clear();
    for (auto& attempt : attempts)
        attempt->end(AttemptOutcome::Lost, Verdict::MayHaveRun, AttemptReason::Other);
}

void AgentLink::removeEndedAttempts()
{
    std::erase_if(m_attempts, [](auto& attempt) { return attempt->hasEnded(); });
}

} // namespace swiftloft::entry
