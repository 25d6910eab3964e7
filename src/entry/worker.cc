#include "src/entry/worker.h"

#include "src/entry/request-reader.h"
#include "src/entry/response-writer.h"
#include "src/log/logger.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <algorithm>

#include <sys/socket.h>

namespace swiftloft::entry {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr milliseconds linkTickInterval { 50 };
constexpr seconds idleTimeout { 75 };
/// A client that accepts no byte within this time counts as disconnected.
constexpr seconds writeStallTimeout { 20 };
constexpr std::size_t maxBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t maxHeaderBytes = 32 * 1024;
/// Queued parts are combined into one write of up to about this size.
constexpr std::size_t writeBatchBytes = 64 * 1024;
/// Time for which the bytes of a client that was refused are discarded, so that it can read the refusal.
constexpr seconds discardTimeout { 2 };
/// Delay after a failed accept, for example when no file descriptors are left.
constexpr milliseconds acceptRetryDelay { 20 };
/// A request in progress is held twice: as the client sent it, and as the message to its agent.
constexpr std::size_t copiesInProgress { 2 };
constexpr unsigned workerIndexShift = 48;

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

bool isStatusPage(std::string_view target)
{
    auto path = target.substr(0, target.find('?'));
    return path == "/healthz" || path == "/readyz" || path == "/metrics" || path.starts_with("/swiftloft/");
}

LocalResponse toResponse(const Refusal& refusal)
{
    LocalResponse response;
    response.status = infoOf(refusal.reason).httpStatus;
    response.fields.set(http::field::content_type, "application/json");
    response.fields.set("Swiftloft-Verdict", std::string(toString(refusal.verdict)));
    if (refusal.retryAfter)
        response.fields.set(http::field::retry_after, std::to_string(refusal.retryAfter->count()));
    response.body = toJson(refusal);
    return response;
}

LocalResponse toResponse(process::StatusAnswer page)
{
    LocalResponse response;
    response.status = page.status;
    response.fields.set(http::field::content_type, page.contentType);
    response.body = std::move(page.body);
    return response;
}

LocalResponse badRequest(const std::string& details)
{
    Refusal refusal;
    refusal.reason = RefusalReason::BadRequest;
    refusal.details = details;
    return toResponse(refusal);
}

LocalResponse toResponse(process::ReadError error)
{
    if (error == process::ReadError::NoMemory) {
        Refusal refusal;
        refusal.reason = RefusalReason::Overloaded;
        refusal.retryAfter = seconds(1);
        refusal.details = "this entry has no memory left for the request";
        return toResponse(refusal);
    }
    auto response = badRequest(fmt::format("the request can't be read: {}", process::toString(error)));
    response.status = process::statusOf(error);
    return response;
}

} // namespace

Worker::Worker(WorkerOptions options, Hooks hooks)
    : m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_bounds(m_options.bounds)
    , m_acceptTimer(m_loop.ioContext())
    , m_linkTimer(m_loop.ioContext())
    , m_outbox(m_loop.ioContext(), [this](std::vector<Event> events) { m_hooks.post(std::move(events)); })
{
    listen();
}

Worker::~Worker() = default;

void Worker::listen()
{
    m_acceptor = std::make_unique<tcp::acceptor>(m_loop.ioContext());
    m_acceptor->open(m_options.listen.protocol());
    m_acceptor->set_option(tcp::acceptor::reuse_address(true));
    m_acceptor->set_option(ReusePort(true));
    m_acceptor->bind(m_options.listen);
    m_acceptor->listen();
}

void Worker::run()
{
    m_loop.run(
        [this] {
            accept();
            tickLinks();
        },
        [this] {
            for (auto& [id, link] : m_links)
                link->stop();
            for (auto& [id, exchange] : m_exchanges)
                exchange->close();
            m_linkTimer.cancel();
            m_acceptTimer.cancel();
            m_attempts.clear();
            m_links.clear();
            m_acceptor.reset();
        });
}

void Worker::tickLinks()
{
    auto now = Clock::now();
    // A link may end attempts during its tick, but it never changes the set of links.
    for (auto& [id, link] : m_links)
        link->tick(now);
    m_linkTimer.expires_at(now + linkTickInterval);
    m_linkTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            tickLinks();
    });
}

void Worker::perform(std::shared_ptr<const Effects> effects)
{
    asio::post(m_loop.ioContext(), [this, effects = std::move(effects)] {
        for (auto& effect : *effects)
            std::visit([this](auto& it) { on(it); }, effect);
    });
}

void Worker::accept()
{
    m_acceptor->async_accept([this](boost::system::error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted || !m_acceptor)
            return;
        if (!ec) {
            socket.set_option(tcp::no_delay(true), ec);
            // A connection that ends with an error is closed like any other.
            co_spawn(m_loop.ioContext(), serve(Stream(std::move(socket))), [](const std::exception_ptr&) {});
            return accept();
        }
        log::write(log::Event::AcceptFailed, "problem=\"{}\"", ec.message());
        acceptLater();
    });
}

void Worker::acceptLater()
{
    m_acceptTimer.expires_at(Clock::now() + acceptRetryDelay);
    m_acceptTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec && m_acceptor)
            accept();
    });
}

// Closing the listener would reset connections that the kernel has completed but that are not yet accepted, and the
// requests on them would be lost. These connections are therefore accepted first.
void Worker::closeListener()
{
    if (!m_acceptor)
        return;
    boost::system::error_code ec;
    m_acceptor->cancel(ec);
    m_acceptor->non_blocking(true, ec);
    for (;;) {
        tcp::socket socket(m_loop.ioContext());
        m_acceptor->accept(socket, ec);
        if (ec)
            break;
        co_spawn(m_loop.ioContext(), serve(Stream(std::move(socket))), [](const std::exception_ptr&) {});
    }
    m_acceptor.reset();
}

asio::awaitable<void> Worker::rejectUnreadable(Stream& stream, process::RequestReader& reader, process::ReadError error)
{
    auto exchange = std::make_shared<Exchange>(m_loop.ioContext(), RequestId(), std::make_shared<ClientMessage>());
    [[maybe_unused]] auto consumed = exchange->push(toResponse(error));
    co_await writeResponse(stream, reader, exchange);
    reader.onStalled();
    co_await process::closeInOrder(stream, Clock::now() + discardTimeout);
}

asio::awaitable<void> Worker::serve(Stream stream)
{
    process::RequestReader reader(stream, m_bounds, [&stream] { stream.close(); });
    process::ReadLimits limits { maxHeaderBytes, std::min(maxBodyBytes, m_bounds.maxRequestBytes() / copiesInProgress), idleTimeout, idleTimeout, Clock::now() + idleTimeout };
    for (; reader.isAdmitted() && co_await reader.waitForRequest(limits.deadline); limits.deadline = Clock::now() + idleTimeout) {
        ClientMessage message;
        auto error = co_await reader.read(limits, message);
        if (error == process::ReadError::Closed)
            co_return;
        stream.expires_never();
        if (error == process::ReadError::None && !reader.hold(copiesInProgress * message.body().size()))
            error = process::ReadError::NoMemory;
        if (error != process::ReadError::None)
            co_return co_await rejectUnreadable(stream, reader, error);
        auto exchange = beginExchange(std::move(message));
        watchForClose(stream, exchange);
        auto keepsAlive = false;
        std::exception_ptr failure;
        try {
            keepsAlive = co_await writeResponse(stream, reader, exchange);
        } catch (const boost::system::system_error&) {
            failure = std::current_exception();
        }
        if (failure && !exchange->isClosed())
            m_outbox.post(ClientDisconnected { exchange->id(), Clock::now() });
        endExchange(exchange);
        if (failure || !keepsAlive)
            co_return;
    }
}

asio::awaitable<bool> Worker::writeResponse(Stream& stream, process::RequestReader& reader, std::shared_ptr<Exchange> exchange)
{
    auto& message = *exchange->message();
    ResponseWriter::Options options;
    options.httpVersion = message.version() ? message.version() : 11;
    options.isHeadRequest = message.method() == http::verb::head;
    options.keepsAlive = message.version() && message.keep_alive();
    options.isEntryLeaving = m_isLeaving;
    options.requestId = fmt::format("{:016x}-{}", m_options.incarnation.value(), exchange->id().value());
    options.entry = m_options.entry;
    ResponseWriter writer(std::move(options));
    std::string out;
    while (!writer.isDone()) {
        out.clear();
        writer.add(co_await exchange->next(), out);
        while (!writer.isDone() && exchange->hasNext() && out.size() < writeBatchBytes)
            writer.add(co_await exchange->next(), out);
        reader.onStalled();
        stream.expires_at(Clock::now() + writeStallTimeout);
        co_await asio::async_write(stream, asio::buffer(out), use_awaitable);
        stream.expires_never();
        reader.onAccepted();
    }
    co_return writer.keepsAlive();
}

std::shared_ptr<Exchange> Worker::beginExchange(ClientMessage message)
{
    RequestId id((static_cast<std::uint64_t>(m_options.index.value()) << workerIndexShift) | ++m_lastRequest);
    auto exchange = std::make_shared<Exchange>(m_loop.ioContext(), id, std::make_shared<ClientMessage>(std::move(message)));
    m_exchanges.emplace(id, exchange);
    auto target = exchange->message()->target();
    if (isStatusPage({ target.data(), target.size() })) {
        requestStatusPage(exchange);
        return exchange;
    }
    auto now = Clock::now();
    auto info = readRequest(*exchange->message(), now);
    if (info)
        m_outbox.post(RequestArrived { id, m_options.index, *info, now });
    else
        pushPart(id, badRequest(info.error().message));
    return exchange;
}

void Worker::requestStatusPage(const std::shared_ptr<Exchange>& exchange)
{
    auto target = exchange->message()->target();
    m_hooks.statusPage(std::string(target), [this, id = exchange->id()](process::StatusAnswer page) {
        asio::post(m_loop.ioContext(), [this, id, page = std::move(page)]() mutable { pushPart(id, toResponse(std::move(page))); });
    });
}

void Worker::endExchange(const std::shared_ptr<Exchange>& exchange)
{
    exchange->close();
    m_exchanges.erase(exchange->id());
}

// While a response is pending, no data is read from the client, so a client that gives up is noticed only by its closed
// connection. Without this check its request would continue to use the backend server.
void Worker::watchForClose(Stream& stream, const std::shared_ptr<Exchange>& exchange)
{
    auto weak = std::weak_ptr(exchange);
    stream.socket().async_wait(tcp::socket::wait_read, [this, &stream, weak](boost::system::error_code ec) {
        auto exchange = weak.lock();
        if (ec || !exchange || exchange->isClosed())
            return;
        char c;
        stream.socket().non_blocking(true, ec);
        auto n = stream.socket().receive(asio::buffer(&c, 1), tcp::socket::message_peek, ec);
        if (ec == asio::error::would_block || n > 0)
            return;
        exchange->close();
        m_outbox.post(ClientDisconnected { exchange->id(), Clock::now() });
    });
}

std::shared_ptr<Exchange> Worker::findExchange(RequestId id) const
{
    auto it = m_exchanges.find(id);
    return it == m_exchanges.end() ? nullptr : it->second;
}

void Worker::pushPart(RequestId id, ResponsePart part)
{
    if (auto exchange = findExchange(id))
        [[maybe_unused]]
        auto consumed = exchange->push(std::move(part));
}

void Worker::dropAttempt(RequestId id)
{
    m_attempts.erase(id);
}

void Worker::on(const StartAttempt& effect)
{
    auto& spec = effect.spec;
    auto exchange = findExchange(spec.id);
    auto link = m_links.find(spec.ticket.agent);
    if (!exchange || link == m_links.end()) {
        m_outbox.post(AttemptEnded { spec.id, spec.attempt, AttemptOutcome::Lost, Verdict::NotRun, AttemptReason::Other, Clock::now() });
        return;
    }
    Attempt::Hooks hooks;
    hooks.onOutputBegan = [this, id = spec.id] { m_outbox.post(OutputBegan { id, Clock::now() }); };
    hooks.onEnded = [this, id = spec.id, serial = spec.attempt](AttemptOutcome outcome, Verdict verdict, AttemptReason reason, policy::CrashId crash) {
        m_outbox.post(AttemptEnded { id, serial, outcome, verdict, reason, Clock::now(), crash });
        // No effect follows for an attempt that has succeeded.
        if (outcome == AttemptOutcome::Answered)
            asio::post(m_loop.ioContext(), [this, id] { dropAttempt(id); });
    };
    auto attempt = std::make_shared<Attempt>(spec, exchange, std::move(hooks));
    m_attempts[spec.id] = attempt;
    link->second->startAttempt(attempt);
}

void Worker::on(const SendClaim& effect)
{
    auto onReply = [this, id = effect.id, claim = effect.request.claim, home = effect.home](std::optional<policy::ClaimReply> reply) {
        m_outbox.post(ClaimCompleted { id, claim, home, std::move(reply), Clock::now() });
    };
    auto link = m_links.find(effect.home);
    if (link == m_links.end())
        return onReply(std::nullopt);
    link->second->sendClaim(effect.request, effect.deadline, std::move(onReply));
}

void Worker::on(const SendRelease& effect)
{
    auto link = m_links.find(effect.home);
    if (link != m_links.end())
        link->second->sendRelease(effect.request);
}

void Worker::on(const CancelAttempt& effect)
{
    auto it = m_attempts.find(effect.id);
    if (it == m_attempts.end())
        return;
    auto link = m_links.find(effect.server);
    if (link != m_links.end())
        link->second->cancel(it->second);
    dropAttempt(effect.id);
}

void Worker::on(const RefuseRequest& effect)
{
    dropAttempt(effect.id);
    pushPart(effect.id, toResponse(effect.refusal));
}

void Worker::on(const AbortResponse& effect)
{
    dropAttempt(effect.id);
    pushPart(effect.id, ResponseAbort { effect.refusal });
}

void Worker::on(const OpenLink& effect)
{
    AgentLink::Hooks hooks;
    auto index = m_options.index;
    hooks.onReport = [this, index, id = effect.server](const AgentReport& report) { m_outbox.post(LinkReported { index, id, report, Clock::now() }); };
    hooks.onDown = [this, index, id = effect.server] { m_outbox.post(LinkDown { index, id, Clock::now() }); };
    auto link = std::make_shared<AgentLink>(m_loop.ioContext(), effect.endpoint, AgentLinkOptions {}, std::move(hooks));
    m_links[effect.server] = link;
    link->start();
}

void Worker::on(const CloseLink& effect)
{
    auto it = m_links.find(effect.server);
    if (it == m_links.end())
        return;
    auto link = it->second;
    m_links.erase(it);
    link->stop();
}

void Worker::on(const PublishSuspicions& effect)
{
    for (auto& [id, link] : m_links)
        link->setSuspicions(effect.suspicions, effect.isUrgent);
}

void Worker::on(const CloseListeners&)
{
    closeListener();
}

void Worker::on(const Finish&)
{
    // The reducer has no request in progress, but responses may still be being written to clients. The reducer repeats
    // `Finish` on each tick until all workers are idle.
    if (m_exchanges.empty())
        m_hooks.onFinished();
}

} // namespace swiftloft::entry
