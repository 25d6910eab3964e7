#include "src/agent/service.h"

#include "src/rpc/convert.h"

#include <fmt/format.h>

namespace swiftloft::agent {

namespace http = boost::beast::http;

namespace {

constexpr unsigned httpVersion11 = 11;

EngineRequest toEngineRequest(rpc::schema::Request::Reader from, const boost::asio::ip::tcp::endpoint& engine)
{
    EngineRequest to;
    to.isRepeatable = from.getIsRepeatable();
    auto& message = to.message;
    message.version(httpVersion11);
    message.method_string(rpc::toString(from.getMethod()));
    message.target(rpc::toString(from.getTarget()));
    for (auto header : from.getHeaders())
        message.insert(rpc::toString(header.getName()), rpc::toString(header.getValue()));
    message.set(http::field::host, fmt::format("{}:{}", engine.address().to_string(), engine.port()));
    message.set("Swiftloft-Request-Key", rpc::toString(from.getKey()));
    message.set("Swiftloft-Priority", std::to_string(from.getPriority()));
    auto body = from.getBody();
    message.body().assign(reinterpret_cast<const char*>(body.begin()), body.size());
    message.prepare_payload();
    return to;
}

} // namespace

/// A `run` call whose result is pending.
struct Service::Call {
    kj::Own<kj::PromiseFulfiller<CallOutcome>> fulfiller;
    rpc::schema::FrameSink::Client sink;
    std::uint64_t offset;
    bool needsHead;
    EngineRequest request;
    kj::Promise<void> pumpPromise { nullptr };
};

class Service::Server final : public rpc::schema::Agent::Server {
public:
    explicit Server(Service& service)
        : m_service(service)
    {
    }

    kj::Promise<void> report(ReportContext context) override
    {
        m_service.report(context);
        return kj::READY_NOW;
    }

    kj::Promise<void> run(RunContext context) override { return m_service.run(context); }
    kj::Promise<void> cancel(CancelContext context) override { return m_service.cancel(context); }
    kj::Promise<void> claim(ClaimContext context) override { return m_service.claim(context); }

    kj::Promise<void> release(ReleaseContext context) override
    {
        m_service.release(context.getParams().getClaim());
        return kj::READY_NOW;
    }

private:
    Service& m_service;
};

Service::Service(boost::asio::io_context& ioContext, boost::asio::ip::tcp::endpoint engine, ServiceOptions options, Post post)
    : m_ioContext(ioContext)
    , m_engine(ioContext, std::move(engine))
    , m_options(options)
    , m_outbox(ioContext, std::move(post))
{
}

Service::~Service() = default;

capnp::Capability::Client Service::bootstrap()
{
    return kj::heap<Server>(*this);
}

void Service::report(ReportContext context)
{
    auto suspicions = context.getParams().getSuspicions();
    if (suspicions.size() > 0)
        m_outbox.post(SuspicionsReceived { rpc::toSuspicions(suspicions), Clock::now() });
    auto report = context.getResults().initReport();
    report.setIncarnation(m_options.incarnation.value());
    report.setIsLeaving(m_report.isLeaving);
    report.setIsEngineUp(m_report.isEngineUp);
    report.setIsReserved(m_report.isReserved);
    report.setRunning(m_report.running);
    report.setPendingTokens(m_report.pendingTokens.value());
    report.setTokensPerSecond(m_report.tokensPerSecond);
    report.setEpoch(m_report.epoch.value());
    rpc::fillSuspicions(report, m_report.suspicions);
}

kj::Promise<void> Service::run(RunContext context)
{
    auto params = context.getParams();
    auto request = params.getRequest();
    auto now = Clock::now();
    auto id = nextCall();
    auto pending = kj::newPromiseAndFulfiller<CallOutcome>();
    auto call = std::make_shared<Call>(Call { kj::mv(pending.fulfiller), params.getSink(), params.getOffset(), params.getNeedsHead(), toEngineRequest(request, m_engine.endpoint()) });
    m_pendingCalls.emplace(id, call);
    RunRequested event;
    event.call = id;
    event.ticket = rpc::toTicket(request.getTicket());
    event.fingerprint = Fingerprint(request.getFingerprint());
    event.runsAlone = request.getRunsAlone();
    event.totalTokens = Tokens(request.getPromptTokens()) + Tokens(request.getExpectedTokens());
    event.deadline = now + milliseconds(request.getRemainingMs());
    event.now = now;
    if (request.hasClaim())
        event.claim = rpc::toClaim(request.getClaim());
    event.attachesOnly = request.getAttachesOnly() && event.claim;
    event.bodyBytes = request.getBody().size();
    m_outbox.post(std::move(event));
    context.releaseParams();
    // When the entry's connection closes, the promise is dropped and this guard is destroyed with it. The guard then
    // stops the sending of frames to this call, while the request itself continues for a call on a new connection.
    auto stopPump = kj::defer([call]() { call->pumpPromise = nullptr; });
    return pending.promise.then([context](CallOutcome outcome) mutable {
                              auto result = context.getResults().initOutcome();
                              result.setKind(outcome.kind);
                              result.setVerdict(rpc::toSchema(outcome.verdict));
                              result.setReason(outcome.reason);
                              result.setCrash(outcome.crash.value());
                          })
        .attach(kj::mv(stopPump));
}

kj::Promise<void> Service::cancel(CancelContext context)
{
    auto params = context.getParams();
    auto id = nextCall();
    auto pending = kj::newPromiseAndFulfiller<Verdict>();
    m_pendingCancels.emplace(id, kj::mv(pending.fulfiller));
    m_outbox.post(CancelRequested { id, rpc::toTicket(params.getTicket()), Clock::now() });
    return pending.promise.then([context](Verdict verdict) mutable { context.getResults().setVerdict(rpc::toSchema(verdict)); });
}

kj::Promise<void> Service::claim(ClaimContext context)
{
    auto id = nextCall();
    auto pending = kj::newPromiseAndFulfiller<policy::ClaimReply>();
    m_pendingClaims.emplace(id, kj::mv(pending.fulfiller));
    m_outbox.post(ClaimRequested { id, rpc::toClaim(context.getParams().getClaim()), Clock::now() });
    return pending.promise.then([context](const policy::ClaimReply& reply) mutable { rpc::fill(context.getResults().initReply(), reply); });
}

void Service::release(rpc::schema::Claim::Reader claim)
{
    m_outbox.post(ClaimReleased { rpc::toClaim(claim) });
}

void Service::execute(const Effect& effect)
{
    std::visit([this](auto& it) { on(it); }, effect);
}

std::shared_ptr<Service::Call> Service::takeCall(CallId id)
{
    auto it = m_pendingCalls.find(id);
    auto call = std::move(it->second);
    m_pendingCalls.erase(it);
    return call;
}

void Service::on(const StartRun& effect)
{
    auto call = takeCall(effect.call);
    auto run = std::make_shared<EngineRun>(m_ioContext, m_engine, std::move(call->request), effect.deadline, m_options.resumeBufferBytes);
    m_runs[effect.run] = run;
    run->setOnEnded([this, id = effect.run](RunOutcome outcome, std::size_t bytes) { m_outbox.post(RunEnded { id, outcome, Clock::now(), bytes }); });
    if (!effect.isHeld)
        run->start();
    attach(call, run);
}

void Service::on(const ReleaseRun& effect)
{
    auto it = m_runs.find(effect.run);
    if (it != m_runs.end())
        it->second->start();
}

void Service::on(const AttachCall& effect)
{
    auto call = takeCall(effect.call);
    auto it = m_runs.find(effect.run);
    if (it != m_runs.end())
        return attach(call, it->second);
    call->fulfiller->fulfill({ OutcomeKind::REFUSED, Verdict::MayHaveRun, Reason::ANSWER_NOT_HELD });
}

void Service::attach(const std::shared_ptr<Call>& call, const std::shared_ptr<EngineRun>& run)
{
    if (!call->fulfiller->isWaiting())
        return;
    ++m_attachedCalls;
    auto detachGuard = kj::defer([this]() {
        --m_attachedCalls;
        notifyIfDrained();
    });
    auto weakCall = std::weak_ptr(call);
    call->pumpPromise = run->attach(call->offset, call->needsHead, call->sink)
                            .then(
                                [weakCall](CallOutcome outcome) {
                                    if (auto call = weakCall.lock())
                                        call->fulfiller->fulfill(kj::mv(outcome));
                                },
                                [weakCall](kj::Exception&& exception) {
                                    if (auto call = weakCall.lock())
                                        call->fulfiller->reject(kj::mv(exception));
                                })
                            .attach(kj::mv(detachGuard))
                            .eagerlyEvaluate(nullptr);
}

void Service::on(const RefuseCall& effect)
{
    takeCall(effect.call)->fulfiller->fulfill({ OutcomeKind::REFUSED, effect.verdict, effect.reason });
}

void Service::on(const AnswerCancel& effect)
{
    auto it = m_pendingCancels.find(effect.call);
    it->second->fulfill(Verdict(effect.verdict));
    m_pendingCancels.erase(it);
}

void Service::on(const AnswerClaim& effect)
{
    auto it = m_pendingClaims.find(effect.call);
    it->second->fulfill(kj::cp(effect.reply));
    m_pendingClaims.erase(it);
}

void Service::on(const StopRun& effect)
{
    auto it = m_runs.find(effect.run);
    if (it != m_runs.end())
        it->second->stop();
}

void Service::on(const ConcludeRun& effect)
{
    auto it = m_runs.find(effect.run);
    if (it != m_runs.end())
        it->second->conclude(effect.crash);
}

void Service::on(const DiscardRun& effect)
{
    m_runs.erase(effect.run);
}

void Service::on(const Finish&)
{
    m_isFinished = true;
    notifyIfDrained();
}

void Service::on(const PublishReport& effect)
{
    m_report = effect;
}

// The response of a request that the engine has finished may still be on its way to the entry. Exiting before every attached
// call has ended would truncate it.
void Service::notifyIfDrained()
{
    if (!m_isFinished || m_attachedCalls > 0 || !m_onDrained)
        return;
    auto onDrained = std::move(m_onDrained);
    m_onDrained = nullptr;
    onDrained();
}

} // namespace swiftloft::agent
