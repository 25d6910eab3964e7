#include "src/entry/attempt.h"

#include "src/rpc/convert.h"

#include <algorithm>

namespace swiftloft::entry {

namespace http = boost::beast::http;

namespace {

AttemptReason toReason(rpc::schema::Reason reason)
{
    switch (reason) {
    case rpc::schema::Reason::NONE:
        return AttemptReason::None;
    case rpc::schema::Reason::LEAVING:
        return AttemptReason::Leaving;
    case rpc::schema::Reason::WRONG_INCARNATION:
        return AttemptReason::WrongIncarnation;
    case rpc::schema::Reason::OVERLOADED:
        return AttemptReason::Overloaded;
    case rpc::schema::Reason::ENGINE_DOWN:
        return AttemptReason::EngineDown;
    case rpc::schema::Reason::ENGINE_CRASHED:
        return AttemptReason::EngineCrashed;
    case rpc::schema::Reason::DEADLINE:
        return AttemptReason::DeadlinePassed;
    case rpc::schema::Reason::ANSWER_NOT_HELD:
        return AttemptReason::AnswerNotHeld;
    case rpc::schema::Reason::QUARANTINED:
        return AttemptReason::Quarantined;
    case rpc::schema::Reason::NOT_CLAIMED:
        return AttemptReason::NotClaimed;
    default:
        return AttemptReason::Other;
    }
}

bool isForAgent(const http::fields::value_type& field)
{
    switch (field.name()) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::transfer_encoding:
    case http::field::te:
    case http::field::upgrade:
    case http::field::host:
    case http::field::content_length:
    case http::field::authorization:
        return false;
    default:
        return true;
    }
}

void fillHeaders(rpc::schema::Request::Builder request, const ClientMessage& message)
{
    auto count = std::count_if(message.begin(), message.end(), isForAgent);
    auto headers = request.initHeaders(count);
    unsigned n = 0;
    for (auto& field : message) {
        if (!isForAgent(field))
            continue;
        headers[n].setName(rpc::toText(std::string(field.name_string())));
        headers[n].setValue(rpc::toText(std::string(field.value())));
        ++n;
    }
}

void fillRequest(rpc::schema::Request::Builder request, const AttemptOrder& order, const ClientMessage& message, TimePoint now)
{
    auto remaining = std::chrono::duration_cast<milliseconds>(order.deadline - now).count();
    request.setKey(rpc::toText(order.key.value()));
    rpc::fill(request.initTicket(), order.ticket);
    request.setService(rpc::toText(order.service.value()));
    request.setOrganisation(rpc::toText(order.organisation.value()));
    request.setIsRepeatable(order.isRepeatable);
    request.setRemainingMs(static_cast<std::uint32_t>(std::clamp<std::int64_t>(remaining, 0, UINT32_MAX)));
    request.setPriority(static_cast<std::int16_t>(order.priority));
    request.setFingerprint(order.fingerprint.value());
    request.setMethod(rpc::toText(std::string(message.method_string())));
    request.setTarget(rpc::toText(std::string(message.target())));
    fillHeaders(request, message);
    auto& body = message.body();
    request.setBody(kj::ArrayPtr<const kj::byte>(reinterpret_cast<const kj::byte*>(body.data()), body.size()));
    request.setRunsAlone(order.runsAlone);
    request.setPromptTokens(order.promptTokens.value());
    request.setExpectedTokens(order.expectedOutput.value());
    if (order.claim)
        rpc::fill(request.initClaim(), *order.claim);
    request.setAttachesOnly(order.attachesOnly);
}

} // namespace

/// Takes frames of one issue. Outlived by the attempt or not: a connection that was given up may hold it for long.
class Attempt::Sink final : public rpc::schema::FrameSink::Server {
public:
    Sink(std::weak_ptr<Attempt> attempt, unsigned issue)
        : m_attempt(std::move(attempt))
        , m_issue(issue)
    {
    }

    kj::Promise<void> write(WriteContext context) override
    {
        auto attempt = m_attempt.lock();
        // Guards against late frames of a connection that was given up for silent: its bytes stand already in what the
        // new connection sends, and would come twice.
        if (!attempt || attempt->m_issue != m_issue || attempt->m_hasEnded)
            return kj::READY_NOW;
        return attempt->onFrame(context.getParams().getFrame());
    }

private:
    std::weak_ptr<Attempt> m_attempt;
    unsigned m_issue;
};

Attempt::Attempt(AttemptOrder order, std::shared_ptr<Exchange> exchange, Hooks hooks)
    : m_order(std::move(order))
    , m_exchange(std::move(exchange))
    , m_hooks(std::move(hooks))
{
    m_exchange->dropHeldHead();
}

Attempt::~Attempt() = default;

void Attempt::issue(rpc::schema::Agent::Client agent, TimePoint now)
{
    ++m_issue;
    auto call = agent.runRequest();
    fillRequest(call.initRequest(), m_order, *m_exchange->message(), now);
    call.setOffset(m_received);
    call.setNeedsHead(!m_hasHead);
    call.setSink(kj::heap<Sink>(weak_from_this(), m_issue));
    auto weak = weak_from_this();
    auto issue = m_issue;
    // A call that fails has lost its connection; the link issues the attempt again or ends it.
    m_call = call.send().then(
                            [weak, issue](auto&& answer) {
                                auto attempt = weak.lock();
                                if (attempt && attempt->m_issue == issue)
                                    attempt->onOutcome(answer.getOutcome());
                            },
                            [](kj::Exception&&) {})
                 .eagerlyEvaluate(nullptr);
}

kj::Promise<void> Attempt::onFrame(rpc::schema::Frame::Reader frame)
{
    if (frame.hasHead() && !m_hasHead)
        takeHead(frame.getHead());
    auto taken = takeBytes(frame.getOffset(), frame.getBytes());
    if (!frame.hasEnd() || m_hasEnded)
        return taken;
    return taken.then([self = shared_from_this(), length = frame.getEnd().getLength(), digest = frame.getEnd().getDigest()]() { return self->takeEnd(length, digest); });
}

void Attempt::takeHead(rpc::schema::ResponseHead::Reader head)
{
    m_hasHead = true;
    AnswerHead answer;
    answer.status = head.getStatus();
    answer.server = m_order.ticket.agent;
    for (auto header : head.getHeaders())
        answer.fields.insert(std::string(header.getName()), std::string(header.getValue()));
    m_exchange->holdHead(std::move(answer));
}

kj::Promise<void> Attempt::takeBytes(std::uint64_t offset, capnp::Data::Reader bytes)
{
    // Guards against a gap, which would reach the client as a shortened answer that looks whole, and against a doubled
    // piece: the offset says which bytes these are.
    if (!m_hasHead || offset > m_received) {
        end(AttemptEnd::Damaged, Verdict::MayHaveRun, AttemptReason::Other);
        return kj::READY_NOW;
    }
    auto known = std::min<std::uint64_t>(m_received - offset, bytes.size());
    auto fresh = bytes.slice(known, bytes.size());
    if (fresh.size() == 0)
        return kj::READY_NOW;
    if (m_received == 0)
        m_hooks.onOutputBegan();
    m_received += fresh.size();
    m_digest.add({ fresh.begin(), fresh.size() });
    return m_exchange->push(AnswerData { std::string(reinterpret_cast<const char*>(fresh.begin()), fresh.size()) });
}

kj::Promise<void> Attempt::takeEnd(std::uint64_t length, std::uint64_t digest)
{
    if (m_hasEnded)
        return kj::READY_NOW;
    if (length != m_received || digest != m_digest.value()) {
        end(AttemptEnd::Damaged, Verdict::Ran, AttemptReason::Other);
        return kj::READY_NOW;
    }
    m_isWhole = true;
    auto written = m_exchange->push(AnswerEnd {});
    if (m_awaitsEndMark)
        end(AttemptEnd::Answered, Verdict::Ran, AttemptReason::None);
    return written;
}

void Attempt::onOutcome(rpc::schema::Outcome::Reader outcome)
{
    auto verdict = rpc::toVerdict(outcome.getVerdict());
    auto reason = toReason(outcome.getReason());
    switch (outcome.getKind()) {
    case rpc::schema::OutcomeKind::ANSWERED:
        // The outcome can overtake the last frames, which wait their turn while the client reads slowly. The end mark
        // decides; should it never come, the deadline does.
        m_awaitsEndMark = true;
        if (m_isWhole)
            end(AttemptEnd::Answered, verdict, reason);
        return;
    case rpc::schema::OutcomeKind::REFUSED:
        return end(AttemptEnd::Refused, verdict, reason);
    default:
        return end(AttemptEnd::Failed, verdict, reason, policy::CrashId(outcome.getCrash()));
    }
}

void Attempt::end(AttemptEnd end, Verdict verdict, AttemptReason reason, policy::CrashId crash)
{
    if (m_hasEnded)
        return;
    m_hasEnded = true;
    m_hooks.onEnded(end, verdict, reason, crash);
}

void Attempt::abandon()
{
    m_hasEnded = true;
    ++m_issue;
}

} // namespace swiftloft::entry
