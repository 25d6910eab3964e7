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

/// A `run` call that waits for its answer.
struct Service::Call {
    kj::Own<kj::PromiseFulfiller<CallOutcome>> fulfiller;
    rpc::schema::FrameSink::Client sink;
    std::uint64_t offset;
    bool needsHead;
    EngineRequest request;
    kj::Promise<void> pumping { nullptr };
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
    auto heard = context.getParams().getSuspicions();
    if (heard.size() > 0)
        m_outbox.post(SuspicionsHeard { rpc::toSuspicions(heard), Clock::now() });
    auto report = context.getResults().initReport();
    report.setIncarnation(m_options.incarnation.value());
    report.setIsLeaving(m_report.isLeaving);
    report.setIsEngineUp(m_report.isEngineUp);
    report.setIsReserved(m_report.isReserved);
    report.setRunning(m_report.running);
    report.setPendingTokens(m_report.pending.value());
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
    auto answer = kj::newPromiseAndFulfiller<CallOutcome>();
    auto call = std::make_shared<Call>(Call { kj::mv(answer.fulfiller), params.getSink(), params.getOffset(), params.getNeedsHead(), toEngineRequest(request, m_engine.endpoint()) });
    m_calls.emplace(id, call);
    RunRequested event;
    event.call = id;
    event.ticket = rpc::toTicket(request.getTicket());
    event.fingerprint = Fingerprint(request.getFingerprint());
    event.runsAlone = request.getRunsAlone();
    event.work = Tokens(request.getPromptTokens()) + Tokens(request.getExpectedTokens());
    event.deadline = now + milliseconds(request.getRemainingMs());
    event.now = now;
    if (request.hasClaim())
        event.claim = rpc::toClaim(request.getClaim());
    event.attachesOnly = request.getAttachesOnly() && event.claim;
    m_outbox.post(std::move(event));
    context.releaseParams();
    // When the entry's connection goes, the promise and with it this guard are dropped: the pump must stop, while the
    // request itself goes on for a call on a new connection.
    auto guard = kj::defer([call]() { call->pumping = nullptr; });
    return answer.promise.then([context](CallOutcome outcome) mutable {
                             auto result = context.getResults().initOutcome();
                             result.setKind(outcome.kind);
                             result.setVerdict(rpc::toSchema(outcome.verdict));
                             result.setReason(outcome.reason);
                             result.setCrash(outcome.crash.value());
                         })
        .attach(kj::mv(guard));
}

kj::Promise<void> Service::cancel(CancelContext context)
{
    auto params = context.getParams();
    auto id = nextCall();
    auto answer = kj::newPromiseAndFulfiller<Verdict>();
    m_cancels.emplace(id, kj::mv(answer.fulfiller));
    m_outbox.post(CancelRequested { id, rpc::toTicket(params.getTicket()), Clock::now() });
    return answer.promise.then([context](Verdict verdict) mutable { context.getResults().setVerdict(rpc::toSchema(verdict)); });
}

kj::Promise<void> Service::claim(ClaimContext context)
{
    auto id = nextCall();
    auto answer = kj::newPromiseAndFulfiller<policy::ClaimReply>();
    m_claims.emplace(id, kj::mv(answer.fulfiller));
    m_outbox.post(ClaimRequested { id, rpc::toClaim(context.getParams().getClaim()), Clock::now() });
    return answer.promise.then([context](const policy::ClaimReply& reply) mutable { rpc::fill(context.getResults().initReply(), reply); });
}

void Service::release(rpc::schema::Claim::Reader claim)
{
    m_outbox.post(ClaimReleased { rpc::toClaim(claim) });
}

void Service::perform(const Effect& effect)
{
    std::visit([this](auto& it) { on(it); }, effect);
}

std::shared_ptr<Service::Call> Service::take(CallId id)
{
    auto it = m_calls.find(id);
    auto call = std::move(it->second);
    m_calls.erase(it);
    return call;
}

void Service::on(const StartRun& effect)
{
    auto call = take(effect.call);
    auto run = std::make_shared<Run>(m_ioContext, m_engine, std::move(call->request), effect.deadline, m_options.resumeBufferBytes);
    m_runs[effect.run] = run;
    run->setOnEnded([this, id = effect.run](RunEnd end) { m_outbox.post(RunEnded { id, end, Clock::now() }); });
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
    auto call = take(effect.call);
    auto it = m_runs.find(effect.run);
    if (it != m_runs.end())
        return attach(call, it->second);
    call->fulfiller->fulfill({ OutcomeKind::REFUSED, Verdict::MayHaveRun, Reason::ANSWER_NOT_HELD });
}

void Service::attach(const std::shared_ptr<Call>& call, const std::shared_ptr<Run>& run)
{
    if (!call->fulfiller->isWaiting())
        return;
    ++m_attached;
    auto leave = kj::defer([this]() {
        --m_attached;
        reportIfDrained();
    });
    auto weak = std::weak_ptr(call);
    call->pumping = run->attach(call->offset, call->needsHead, call->sink)
                        .then(
                            [weak](CallOutcome outcome) {
                                if (auto call = weak.lock())
                                    call->fulfiller->fulfill(kj::mv(outcome));
                            },
                            [weak](kj::Exception&& exception) {
                                if (auto call = weak.lock())
                                    call->fulfiller->reject(kj::mv(exception));
                            })
                        .attach(kj::mv(leave))
                        .eagerlyEvaluate(nullptr);
}

void Service::on(const RefuseCall& effect)
{
    take(effect.call)->fulfiller->fulfill({ OutcomeKind::REFUSED, effect.verdict, effect.reason });
}

void Service::on(const AnswerCancel& effect)
{
    auto it = m_cancels.find(effect.call);
    it->second->fulfill(Verdict(effect.verdict));
    m_cancels.erase(it);
}

void Service::on(const AnswerClaim& effect)
{
    auto it = m_claims.find(effect.call);
    it->second->fulfill(kj::cp(effect.reply));
    m_claims.erase(it);
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

void Service::on(const ForgetRun& effect)
{
    m_runs.erase(effect.run);
}

void Service::on(const Finish&)
{
    m_isFinished = true;
    reportIfDrained();
}

void Service::on(const PublishReport& effect)
{
    m_report = effect;
}

// A request that the engine has finished may still be on its way to its entry: ending the process now would cut it.
void Service::reportIfDrained()
{
    if (!m_isFinished || m_attached > 0 || !m_onDrained)
        return;
    auto onDrained = std::move(m_onDrained);
    m_onDrained = nullptr;
    onDrained();
}

} // namespace swiftloft::agent
