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

void fillRequest(rpc::schema::Request::Builder request, const AttemptSpec& spec, const ClientMessage& message, TimePoint now)
{
    auto remaining = std::chrono::duration_cast<milliseconds>(spec.deadline - now).count();
    request.setKey(rpc::toText(spec.key.value()));
    rpc::fill(request.initTicket(), spec.ticket);
    request.setService(rpc::toText(spec.service.value()));
    request.setOrganisation(rpc::toText(spec.organisation.value()));
    request.setIsRepeatable(spec.isRepeatable);
    request.setRemainingMs(static_cast<std::uint32_t>(std::clamp<std::int64_t>(remaining, 0, UINT32_MAX)));
    request.setPriority(static_cast<std::int16_t>(spec.priority));
    request.setFingerprint(spec.fingerprint.value());
    request.setMethod(rpc::toText(std::string(message.method_string())));
    request.setTarget(rpc::toText(std::string(message.target())));
    fillHeaders(request, message);
    auto& body = message.body();
    request.setBody(kj::ArrayPtr<const kj::byte>(reinterpret_cast<const kj::byte*>(body.data()), body.size()));
    request.setRunsAlone(spec.runsAlone);
    request.setPromptTokens(spec.promptTokens.value());
    request.setExpectedTokens(spec.expectedOutput.value());
    if (spec.claim)
        rpc::fill(request.initClaim(), *spec.claim);
    request.setAttachesOnly(spec.attachesOnly);
}

} // namespace

/// Receives the frames of one call. An abandoned connection may keep the sink alive longer than the attempt.
class Attempt::Sink final : public rpc::schema::FrameSink::Server {
public:
    Sink(std::weak_ptr<Attempt> attempt, unsigned callNumber)
        : m_attempt(std::move(attempt))
        , m_callNumber(callNumber)
    {
    }

    kj::Promise<void> write(WriteContext context) override
    {
        auto attempt = m_attempt.lock();
        // The connection was abandoned because it no longer responded, and this frame arrived late. The new connection
        // sends the same bytes, so without this check the client would get them twice.
        if (!attempt || attempt->m_callNumber != m_callNumber || attempt->m_hasEnded)
            return kj::READY_NOW;
        return attempt->onFrame(context.getParams().getFrame());
    }

private:
    std::weak_ptr<Attempt> m_attempt;
    unsigned m_callNumber;
};

Attempt::Attempt(AttemptSpec spec, std::shared_ptr<Exchange> exchange, Hooks hooks)
    : m_spec(std::move(spec))
    , m_exchange(std::move(exchange))
    , m_hooks(std::move(hooks))
{
    m_exchange->dropHeldHead();
}

Attempt::~Attempt() = default;

void Attempt::startCall(rpc::schema::Agent::Client agent, TimePoint now)
{
    ++m_callNumber;
    auto call = agent.runRequest();
    fillRequest(call.initRequest(), m_spec, *m_exchange->message(), now);
    call.setOffset(m_received);
    call.setNeedsHead(!m_hasHead);
    call.setSink(kj::heap<Sink>(weak_from_this(), m_callNumber));
    auto weak = weak_from_this();
    auto callNumber = m_callNumber;
    // A failed call means that the connection was lost; the link starts the call again or ends the attempt.
    m_call = call.send().then(
                            [weak, callNumber](auto&& response) {
                                auto attempt = weak.lock();
                                if (attempt && attempt->m_callNumber == callNumber)
                                    attempt->onOutcome(response.getOutcome());
                            },
                            [](kj::Exception&&) {})
                 .eagerlyEvaluate(nullptr);
}

kj::Promise<void> Attempt::onFrame(rpc::schema::Frame::Reader frame)
{
    if (frame.hasHead() && !m_hasHead)
        onHead(frame.getHead());
    auto consumed = onBytes(frame.getOffset(), frame.getBytes());
    if (!frame.hasEnd() || m_hasEnded)
        return consumed;
    return consumed.then([self = shared_from_this(), length = frame.getEnd().getLength(), digest = frame.getEnd().getDigest()]() { return self->onEndMark(length, digest); });
}

void Attempt::onHead(rpc::schema::ResponseHead::Reader head)
{
    m_hasHead = true;
    ResponseHead response;
    response.status = head.getStatus();
    response.server = m_spec.ticket.agent;
    for (auto header : head.getHeaders())
        response.fields.insert(std::string(header.getName()), std::string(header.getValue()));
    m_exchange->holdHead(std::move(response));
}

kj::Promise<void> Attempt::onBytes(std::uint64_t offset, capnp::Data::Reader bytes)
{
    // The offset gives the position of the bytes in the response. Missing bytes would give the client a shortened
    // response that looks complete, and bytes that arrive twice would corrupt the response.
    if (!m_hasHead || offset > m_received) {
        end(AttemptOutcome::Damaged, Verdict::MayHaveRun, AttemptReason::Other);
        return kj::READY_NOW;
    }
    auto knownBytes = std::min<std::uint64_t>(m_received - offset, bytes.size());
    auto newBytes = bytes.slice(knownBytes, bytes.size());
    if (newBytes.size() == 0)
        return kj::READY_NOW;
    if (m_received == 0)
        m_hooks.onOutputBegan();
    m_received += newBytes.size();
    m_digest.add({ newBytes.begin(), newBytes.size() });
    return m_exchange->push(ResponseData { std::string(reinterpret_cast<const char*>(newBytes.begin()), newBytes.size()) });
}

kj::Promise<void> Attempt::onEndMark(std::uint64_t length, std::uint64_t digest)
{
    if (m_hasEnded)
        return kj::READY_NOW;
    if (length != m_received || digest != m_digest.value()) {
        end(AttemptOutcome::Damaged, Verdict::Ran, AttemptReason::Other);
        return kj::READY_NOW;
    }
    m_isComplete = true;
    auto written = m_exchange->push(ResponseEnd {});
    if (m_awaitsEndMark)
        end(AttemptOutcome::Answered, Verdict::Ran, AttemptReason::None);
    return written;
}

void Attempt::onOutcome(rpc::schema::Outcome::Reader outcome)
{
    auto verdict = rpc::toVerdict(outcome.getVerdict());
    auto reason = toReason(outcome.getReason());
    switch (outcome.getKind()) {
    case rpc::schema::OutcomeKind::ANSWERED:
        // The outcome can arrive before the last frames, which are delayed while the client reads slowly. The attempt
        // therefore ends with the end mark, or with the deadline if the end mark never arrives.
        m_awaitsEndMark = true;
        if (m_isComplete)
            end(AttemptOutcome::Answered, verdict, reason);
        return;
    case rpc::schema::OutcomeKind::REFUSED:
        return end(AttemptOutcome::Refused, verdict, reason);
    default:
        return end(AttemptOutcome::Failed, verdict, reason, policy::CrashId(outcome.getCrash()));
    }
}

void Attempt::end(AttemptOutcome outcome, Verdict verdict, AttemptReason reason, policy::CrashId crash)
{
    if (m_hasEnded)
        return;
    m_hasEnded = true;
    m_hooks.onEnded(outcome, verdict, reason, crash);
}

void Attempt::abandon()
{
    m_hasEnded = true;
    ++m_callNumber;
}

} // namespace swiftloft::entry
