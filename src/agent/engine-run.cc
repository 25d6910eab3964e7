#include "src/agent/engine-run.h"

#include "src/log/logger.h"
#include "src/process/final-response.h"
#include "src/process/http-limits.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace swiftloft::agent {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::use_awaitable;

namespace {

constexpr std::size_t chunkBytes = 16 * 1024;
constexpr std::size_t maxHeaderBytes = 64 * 1024;

bool isHopByHop(http::field field)
{
    switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
        return true;
    default:
        return false;
    }
}

std::size_t countEndToEndFields(const http::fields& fields)
{
    return std::count_if(fields.begin(), fields.end(), [](auto& it) { return !isHopByHop(it.name()); });
}

kj::StringPtr toKj(beast::string_view text, std::string& storage)
{
    storage.assign(text.data(), text.size());
    return { storage.data(), storage.size() };
}

void fillResponseHead(rpc::schema::ResponseHead::Builder head, const http::response_header<>& from)
{
    head.setStatus(from.result_int());
    auto headers = head.initHeaders(countEndToEndFields(from));
    std::size_t n = 0;
    std::string storage;
    for (auto& field : from) {
        if (isHopByHop(field.name()))
            continue;
        auto header = headers[n++];
        header.setName(toKj(field.name_string(), storage));
        header.setValue(toKj(field.value(), storage));
    }
}

} // namespace

EngineRun::EngineRun(asio::io_context& ioContext, EngineConnectionPool& engine, EngineRequest request, TimePoint deadline, std::size_t bufferBytes)
    : m_ioContext(ioContext)
    , m_engine(engine)
    , m_request(std::move(request))
    , m_deadline(deadline)
    , m_bufferBytes(bufferBytes)
    , m_buffer(bufferBytes)
    , m_bufferSpaceTimer(ioContext)
{
}

EngineRun::~EngineRun() = default;

void EngineRun::start()
{
    if (m_isStopped)
        return;
    m_isStarted = true;
    co_spawn(m_ioContext, execute(),
        asio::bind_cancellation_slot(m_cancellation.slot(), [self = shared_from_this()](const std::exception_ptr&, RunOutcome outcome) {
            self->finish(outcome);
        }));
}

void EngineRun::stop()
{
    if (m_isStopped)
        return;
    m_isStopped = true;
    if (!m_isStarted)
        return finish(RunOutcome::NotReached);
    m_cancellation.emit(asio::cancellation_type::terminal);
}

asio::awaitable<RunOutcome> EngineRun::execute()
{
    try {
        auto stream = co_await m_engine.acquire(m_deadline, m_request.isRepeatable);
        m_wasSent = true;
        co_await http::async_write(stream, m_request.message, use_awaitable);
        co_await readBody(stream);
        co_return RunOutcome::Answered;
    } catch (const boost::system::system_error& error) {
        if (m_isStopped)
            co_return m_wasSent ? RunOutcome::Cancelled : RunOutcome::NotReached;
        if (!m_wasSent)
            co_return RunOutcome::NotReached;
        if (process::isInvalidResponse(error.code()))
            log::write(log::Event::InvalidEngineResponse, "problem=\"{}\"", error.code().message());
        co_return error.code() == beast::error::timeout ? RunOutcome::DeadlinePassed : RunOutcome::Broken;
    }
}

asio::awaitable<void> EngineRun::readBody(beast::tcp_stream& stream)
{
    beast::flat_buffer buf(process::maxUnparsedBytes);
    const process::ResponseBounds bounds { maxHeaderBytes, boost::none };
    auto finalParser = co_await process::readFinalHead<http::buffer_body>(stream, buf, bounds);
    auto& parser = *finalParser;
    // The response head is sent with the first bytes of the body or, if the body is empty, with the end mark.
    m_responseHead = parser.get().base();
    std::array<char, chunkBytes> chunk;
    while (!parser.is_done()) {
        co_await waitForBufferSpace();
        parser.get().body().data = chunk.data();
        parser.get().body().size = std::min(chunk.size(), bufferSpace());
        parser.get().body().more = true;
        boost::system::error_code ec;
        co_await http::async_read_some(stream, buf, parser, asio::redirect_error(use_awaitable, ec));
        if (ec && ec != http::error::need_buffer)
            throw boost::system::system_error(ec);
        std::string_view bytes(chunk.data(), static_cast<char*>(parser.get().body().data) - chunk.data());
        m_digest.add({ reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size() });
        m_buffer.append(bytes);
        wakeSubscribers();
    }
    if (parser.keep_alive())
        m_engine.release(std::move(stream));
}

/// Bytes that may be read without dropping one that a call has not been sent.
std::size_t EngineRun::bufferSpace() const
{
    auto servedOffset = m_servedOffset;
    auto isAttached = false;
    for (auto& weak : m_subscribers) {
        auto subscriber = weak.lock();
        if (!subscriber)
            continue;
        servedOffset = isAttached ? std::min(servedOffset, subscriber->offset) : subscriber->offset;
        isAttached = true;
    }
    auto end = servedOffset + m_bufferBytes;
    return end - std::min(end, m_buffer.end());
}

// While no call receives the response, further reading would drop buffered bytes that a new connection may still
// request. Reading from the engine therefore pauses until there is space again, a call attaches or the deadline passes.
asio::awaitable<void> EngineRun::waitForBufferSpace()
{
    while (bufferSpace() == 0) {
        m_bufferSpaceTimer.expires_at(m_deadline);
        boost::system::error_code ec;
        co_await m_bufferSpaceTimer.async_wait(asio::redirect_error(use_awaitable, ec));
        if (!ec || m_isStopped)
            throw boost::system::system_error(beast::error::timeout);
    }
}

void EngineRun::finish(RunOutcome outcome)
{
    std::string().swap(m_request.message.body());
    if (outcome != RunOutcome::Broken) {
        m_outcome = outcome;
        wakeSubscribers();
    }
    if (m_onEnded)
        m_onEnded(outcome, m_buffer.end() - m_buffer.begin());
}

void EngineRun::conclude(policy::CrashId crash)
{
    m_outcome = RunOutcome::Broken;
    m_crash = crash;
    wakeSubscribers();
}

void EngineRun::wakeSubscribers()
{
    auto waiters = std::move(m_waiters);
    m_waiters.clear();
    for (auto& fulfiller : waiters)
        fulfiller->fulfill();
}

kj::Promise<void> EngineRun::waitForChange()
{
    auto change = kj::newPromiseAndFulfiller<void>();
    m_waiters.push_back(kj::mv(change.fulfiller));
    return kj::mv(change.promise);
}

kj::Promise<CallOutcome> EngineRun::attach(std::uint64_t offset, bool needsHead, rpc::schema::FrameSink::Client sink)
{
    auto subscriber = std::make_shared<Subscriber>(Subscriber { kj::mv(sink), offset, needsHead });
    m_subscribers.remove_if([](auto& weak) { return weak.expired(); });
    m_subscribers.push_back(subscriber);
    m_bufferSpaceTimer.cancel();
    return pump(subscriber).attach(shared_from_this());
}

kj::Promise<CallOutcome> EngineRun::pump(std::shared_ptr<Subscriber> subscriber)
{
    // Created for each use, because kj keeps a reference to a continuation that is passed as an lvalue.
    auto makeContinuation = [this, &subscriber]() { return [this, subscriber]() { return pump(subscriber); }; };
    auto bytes = m_buffer.read(subscriber->offset, chunkBytes);
    if (!bytes) {
        auto verdict = m_outcome == RunOutcome::Answered ? Verdict::Ran : Verdict::MayHaveRun;
        return CallOutcome { OutcomeKind::REFUSED, verdict, Reason::ANSWER_NOT_HELD };
    }
    auto isLast = m_outcome == RunOutcome::Answered && subscriber->offset + bytes->size() == m_buffer.end();
    if (isLast)
        return sendFrame(*subscriber, *bytes, true).then([]() { return CallOutcome { OutcomeKind::ANSWERED, Verdict::Ran, Reason::NONE }; });
    if (!bytes->empty())
        return sendFrame(*subscriber, *bytes, false).then(makeContinuation());
    if (m_outcome)
        return failureOutcome();
    return waitForChange().then(makeContinuation());
}

kj::Promise<void> EngineRun::sendFrame(Subscriber& subscriber, std::string_view bytes, bool isLast)
{
    auto request = subscriber.sink.writeRequest();
    auto frame = request.initFrame();
    if (subscriber.needsHead)
        fillResponseHead(frame.initHead(), *m_responseHead);
    subscriber.needsHead = false;
    frame.setOffset(subscriber.offset);
    frame.setBytes(kj::ArrayPtr<const kj::byte>(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    if (isLast) {
        auto end = frame.initEnd();
        end.setLength(m_buffer.end());
        end.setDigest(m_digest.value());
    }
    subscriber.offset += bytes.size();
    m_servedOffset = subscriber.offset;
    m_bufferSpaceTimer.cancel();
    return request.send();
}

CallOutcome EngineRun::failureOutcome() const
{
    switch (*m_outcome) {
    case RunOutcome::NotReached:
        return { OutcomeKind::REFUSED, Verdict::NotRun, Reason::ENGINE_DOWN };
    case RunOutcome::Cancelled:
        return { OutcomeKind::CANCELLED, Verdict::MayHaveRun, Reason::NONE };
    case RunOutcome::DeadlinePassed:
        return { OutcomeKind::ENGINE_FAILED, Verdict::MayHaveRun, Reason::DEADLINE };
    case RunOutcome::Broken:
    case RunOutcome::Answered:
        break;
    }
    return { OutcomeKind::ENGINE_FAILED, Verdict::MayHaveRun, Reason::ENGINE_CRASHED, m_crash };
}

} // namespace swiftloft::agent
