#include "src/gateway/request-call.h"

#include "src/log/logger.h"
#include "src/process/response-head.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <span>

/// Implements the part of `RequestServer` that makes one attempt at a request: it sends the request to a backend server and
/// reads the response.
namespace swiftloft::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

/// Connections within a region are established in a few milliseconds. If it takes longer, the server is unreachable or its
/// accept queue is full. Waiting does not help in the latter case, because TCP retransmits the SYN only after one second.
constexpr milliseconds connectTimeout { 250 };
/// Upper bound of a response that is buffered completely before it is forwarded.
constexpr std::size_t maxResponseBytes = 16U << 20;
constexpr std::size_t maxHeaderBytes = 64U << 10;
constexpr unsigned misdirected = 421;
/// Number of interim responses and of responses to earlier requests that are discarded before the connection is given up.
constexpr int maxStrayResponses = 2;
/// Size of a response to an earlier request, and the time that its rest takes to arrive, beyond which the connection is given
/// up.
constexpr std::size_t maxStrayBytes = 1U << 20;
constexpr milliseconds strayTimeout { 500 };
/// Time reserved before the deadline so that the entry's own error response still reaches the client.
constexpr milliseconds responseMargin { 20 };

constexpr std::array hopByHopFields { http::field::connection, http::field::keep_alive, http::field::proxy_authenticate, http::field::proxy_authorization,
    http::field::te, http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::proxy_connection };

void eraseHopByHop(http::fields& fields)
{
    std::vector<std::string> named;
    for (auto token : http::token_list(fields[http::field::connection]))
        named.emplace_back(token);
    for (auto& name : named)
        fields.erase(name);
    for (auto field : hopByHopFields)
        fields.erase(field);
}

bool isSuccess(unsigned status)
{
    return status < 300;
}

bool isServerError(unsigned status)
{
    return status >= 500;
}

/// The next bytes of a body, and the error with which it ended; none while it goes on.
struct BodyPart {
    std::size_t size { 0 };
    boost::system::error_code ec;
};

asio::awaitable<BodyPart> readBody(UpstreamConnection& connection, ResponseParser& parser, std::span<char> bytes)
{
    auto& buffer = parser.get().body();
    buffer.data = bytes.data();
    buffer.size = bytes.size();
    buffer.more = true;
    BodyPart part;
    co_await http::async_read_some(connection.stream, connection.buffer, parser, redirect_error(use_awaitable, part.ec));
    part.size = bytes.size() - buffer.size;
    if (part.ec == http::error::need_buffer)
        part.ec = {};
    co_return part;
}

/// Reads and discards the rest of a response. Returns false if it fails, or takes too much time or space.
asio::awaitable<bool> discardBody(UpstreamConnection& connection, ResponseParser& parser, TimePoint deadline)
{
    std::array<char, 4096> bytes;
    std::size_t size = 0;
    while (!parser.is_done()) {
        connection.stream.expires_at(deadline);
        auto part = co_await readBody(connection, parser, bytes);
        size += part.size;
        if (part.ec || size > maxStrayBytes)
            co_return false;
    }
    co_return true;
}

} // namespace

asio::awaitable<std::variant<AttemptOutcome, UpstreamConnectionPtr>> RequestServer::acquireConnection(Call& call, const BackendServer& server)
{
    // A request that must not run twice gets a new connection. If the server closed an idle connection just as the
    // request is written to it, it would not be known whether the request ran.
    if (call.route->isIdempotent) {
        if (auto idle = m_pool.takeIdle(server))
            co_return idle;
    }
    try {
        co_return co_await m_pool.connect(server, std::min(call.deadline - responseMargin, Clock::now() + connectTimeout));
    } catch (const boost::system::system_error& error) {
        co_return error.code() == asio::error::connection_refused ? AttemptOutcome::ConnectionRefused : AttemptOutcome::NotSent;
    }
}

asio::awaitable<std::optional<AttemptOutcome>> RequestServer::sendRequest(Call& call, const BackendServer& server, UpstreamConnection& connection)
{
    // Refers to the client's body: a copy would take as much memory again.
    http::request<http::span_body<const char>> request(call.request.base());
    request.body() = { call.request.body().data(), call.request.body().size() };
    eraseHopByHop(request.base());
    auto now = Clock::now();
    m_protocol.prepareUpstreamRequest(request.base(), { server.id, call.deadline, call.organisation, call.lastEvent, m_dispatcher.reducer().admission().priorityForServer(server.service, call.priority) }, now);
    if (!request.body().empty() || request.find(http::field::content_length) != request.end())
        request.content_length(request.body().size());
    request.version(11);
    request.keep_alive(true);
    connection.stream.expires_at(call.deadline - responseMargin);
    connection.isInUse = true;
    connection.sentAt = now;
    boost::system::error_code ec;
    co_await http::async_write(connection.stream, request, redirect_error(use_awaitable, ec));
    if (!ec)
        co_return std::nullopt;
    co_return ec == beast::error::timeout ? AttemptOutcome::TimedOut : AttemptOutcome::Lost;
}

asio::awaitable<AttemptOutcome> RequestServer::exchange(Call& call, const BackendServer& server)
{
    auto acquired = co_await acquireConnection(call, server);
    if (auto* failure = std::get_if<AttemptOutcome>(&acquired))
        co_return *failure;
    if (call.isCancelled)
        co_return AttemptOutcome::NotSent;
    auto connection = std::get<UpstreamConnectionPtr>(std::move(acquired));
    // The hooks of the call may be called until it is destroyed.
    struct Guard {
        ~Guard()
        {
            call.upstream = nullptr;
            call.isReading = false;
        }
        Call& call;
    } guard { call };
    call.upstream = connection.get();
    call.sentAt = Clock::now();
    if (auto failure = co_await sendRequest(call, server, *connection))
        co_return *failure;
    co_return co_await readResponse(call, std::move(connection));
}

asio::awaitable<AttemptOutcome> RequestServer::readResponse(Call& call, UpstreamConnectionPtr connection)
{
    auto result = co_await readHead(call, std::move(connection));
    if (auto* failure = std::get_if<AttemptOutcome>(&result))
        co_return *failure;
    auto response = std::get<Response>(std::move(result));
    bool isStream = call.route->isStream && response.head.status == 200;
    if (isStream)
        co_return co_await forwardStream(call, std::move(response));
    co_return co_await forwardWhole(call, std::move(response));
}

asio::awaitable<std::variant<AttemptOutcome, RequestServer::Response>> RequestServer::readHead(Call& call, UpstreamConnectionPtr connection)
{
    auto deadline = call.deadline - responseMargin;
    for (int n = 0; n <= maxStrayResponses; ++n) {
        auto& stream = connection->stream;
        auto parser = std::make_unique<ResponseParser>();
        parser->header_limit(maxHeaderBytes);
        parser->body_limit(boost::none);
        if (call.request.method() == http::verb::head)
            parser->skip(true);
        boost::system::error_code ec;
        bool isCurrent = connection.get() == call.upstream;
        for (;;) {
            call.isReading = isCurrent;
            co_await http::async_read_header(stream, connection->buffer, *parser, redirect_error(use_awaitable, ec));
            if (!isCurrent || !isOffered(call, ec))
                break;
            if (auto taken = co_await takeOver(call, *connection))
                co_return std::move(*taken);
            if (call.isCancelled)
                co_return AttemptOutcome::Lost;
        }
        if (ec == beast::error::timeout)
            co_return Clock::now() + responseMargin >= call.deadline ? AttemptOutcome::TimedOut : AttemptOutcome::Lost;
        if (!ec)
            ec = process::checkResponseHead(parser->get().base());
        if (ec) {
            recordInvalidHead(call, connection->server, ec);
            co_return AttemptOutcome::Lost;
        }
        if (process::isInterim(parser->get().result_int()))
            continue;
        auto head = m_protocol.decodeResponse(parser->get().base(), Clock::now());
        // Status 421 (Misdirected Request): the request reached a server other than the selected one, so the fields of
        // the response do not describe the selected server.
        bool isFromServer = head.status != misdirected;
        // The back-off and leaving fields describe the server, so they are also applied from responses to earlier
        // requests.
        if (isFromServer) {
            recordBackOff(call, connection->server, head);
            recordLeaving(call, connection->server, head);
        }
        // A server may send the response to an earlier request late, where the next response is expected. If the late
        // response were forwarded, a client would get the response to another client's request.
        bool isStray = !head.requestId.empty() && head.requestId != call.head.id;
        if (isStray) {
            log::write(log::Event::StrayAnswer, "id={} server={} answers={}", call.head.id, connection->server.id.value(), head.requestId);
            // A response that ends with its connection is the last one on it.
            if (parser->need_eof())
                co_return AttemptOutcome::Lost;
            if (!co_await discardBody(*connection, *parser, std::min(deadline, Clock::now() + strayTimeout)))
                co_return AttemptOutcome::Lost;
            stream.expires_at(deadline);
            continue;
        }
        if (isFromServer)
            recordLimit(call, *connection, head);
        if (head.isNotRun)
            co_return head.status == misdirected ? AttemptOutcome::Misdirected : AttemptOutcome::NotRun;
        if (isSuccess(head.status) && head.isEncoded)
            co_return AttemptOutcome::Lost;
        co_return Response { std::move(connection), std::move(parser), std::move(head) };
    }
    co_return AttemptOutcome::Lost;
}

void RequestServer::offerTakeover(Call& call, const dispatch::StartTakeover& start)
{
    if (!call.isReading) {
        call.handle->reportTakeoverFailed(AttemptOutcome::Superseded);
        return;
    }
    call.takeoverOffer = start;
    call.upstream->stream.cancel();
}

bool RequestServer::isOffered(Call& call, const boost::system::error_code& ec)
{
    call.isReading = false;
    if (!call.takeoverOffer)
        return false;
    if (ec == asio::error::operation_aborted && !call.isCancelled)
        return true;
    call.takeoverOffer.reset();
    call.handle->reportTakeoverFailed(AttemptOutcome::Superseded);
    return false;
}

asio::awaitable<std::optional<RequestServer::Response>> RequestServer::takeOver(Call& call, UpstreamConnection& current)
{
    auto start = *std::exchange(call.takeoverOffer, std::nullopt);
    recordAttemptStart(call, start.server, start.running, start.limit, start.retries);
    auto takeover = std::make_shared<Takeover>();
    call.takeover = takeover;
    // Data, or the end of the connection.
    current.stream.socket().async_wait(asio::ip::tcp::socket::wait_read, [weak = call.takeover](const boost::system::error_code& ec) {
        auto it = weak.lock();
        if (!ec && it)
            it->cancel();
    });
    auto result = co_await requestTakeover(call, start.server, *takeover);
    boost::system::error_code ec;
    current.stream.socket().cancel(ec);
    auto* response = std::get_if<Response>(&result);
    if (!response) {
        auto outcome = std::get<AttemptOutcome>(result);
        logFailedAttempt(call, start.server.id, outcome);
        call.handle->reportTakeoverFailed(outcome);
        co_return std::nullopt;
    }
    logFailedAttempt(call, call.currentServer, AttemptOutcome::Stalled);
    call.currentServer = start.server.id;
    call.upstream = response->connection.get();
    call.sentAt = response->connection->sentAt;
    call.splitter.reset();
    call.handle->reportTakeoverAccepted();
    co_return std::move(*response);
}

asio::awaitable<std::variant<AttemptOutcome, RequestServer::Response>> RequestServer::requestTakeover(Call& call, const BackendServer& server, Takeover& takeover)
{
    auto acquired = co_await acquireConnection(call, server);
    if (takeover.isCancelled)
        co_return AttemptOutcome::Superseded;
    if (auto* failure = std::get_if<AttemptOutcome>(&acquired))
        co_return *failure;
    auto connection = std::get<UpstreamConnectionPtr>(std::move(acquired));
    takeover.connection = connection.get();
    std::variant<AttemptOutcome, Response> result;
    if (auto failure = co_await sendRequest(call, server, *connection))
        result = *failure;
    else
        result = co_await readHead(call, std::move(connection));
    takeover.connection = nullptr;
    auto* response = std::get_if<Response>(&result);
    bool isRejected = !response && isNotRun(std::get<AttemptOutcome>(result));
    if (takeover.isCancelled && !isRejected)
        co_return AttemptOutcome::Superseded;
    if (!response)
        co_return result;
    auto& head = response->head;
    if (isSuccess(head.status) && !head.isSigned)
        co_return AttemptOutcome::Lost;
    bool isUsable = call.route->isStream ? head.status == 200 : !isServerError(head.status);
    if (!isUsable)
        co_return AttemptOutcome::ServerError;
    co_return result;
}

asio::awaitable<void> RequestServer::probe(BackendServer server)
{
    try {
        co_await m_pool.connect(server, Clock::now() + connectTimeout);
    } catch (const boost::system::system_error& error) {
        if (error.code() == asio::error::connection_refused)
            m_dispatcher.apply(dispatch::ProbeRefused { server.incarnation() });
    }
}

/// Logs and counts a head that is not valid HTTP. A head that its connection cut short is an ordinary loss.
void RequestServer::recordInvalidHead(const Call& call, const ServerIncarnation& server, const boost::system::error_code& ec)
{
    if (!process::isInvalidResponse(ec))
        return;
    m_metrics.count("swiftloft_entry_invalid_responses_total", { { "service", call.service.value() } });
    log::write(log::Event::InvalidResponse, "id={} server={} problem=\"{}\"", call.head.id, server.id.value(), ec.message());
}

void RequestServer::recordLimit(const Call& call, const UpstreamConnection& connection, const ResponseHead& head)
{
    if (head.limit)
        m_metrics.count("swiftloft_entry_limits_heard_total", { { "service", call.service.value() } });
    if (head.limit || m_dispatcher.reducer().loadBalancer().limitOf(connection.server))
        m_dispatcher.apply(dispatch::LimitReceived { connection.server, connection.sentAt, head.limit });
}

void RequestServer::recordBackOff(const Call& call, const ServerIncarnation& server, const ResponseHead& head)
{
    if (!head.backOff)
        return;
    bool isKnown = m_dispatcher.reducer().loadBalancer().backOffEnd(server, Clock::now()).has_value();
    m_metrics.count("swiftloft_entry_rests_heard_total", { { "service", call.service.value() }, { "known", isKnown ? "yes" : "no" } });
    m_dispatcher.apply(dispatch::BackOffRequested { server, *head.backOff });
}

void RequestServer::recordLeaving(const Call& call, const ServerIncarnation& server, const ResponseHead& head)
{
    if (!head.isLeaving)
        return;
    m_metrics.count("swiftloft_entry_leaving_heard_total", { { "service", call.service.value() } });
    m_dispatcher.apply(dispatch::LeavingReported { server });
}

/// True if the response may be incomplete although its connection was closed cleanly. When a server's process ends, its
/// system closes its connections in the same way as after a complete response without a length or chunks. Logs and counts
/// the response.
bool RequestServer::isTorn(const Call& call, const UpstreamConnection& connection) const
{
    bool hasServerEnded = connection.hasServerEnded || call.handle->hasServerEnded();
    if (!call.endsWithConnection || !hasServerEnded)
        return false;
    auto closedBy = connection.hasServerEnded ? "entry" : "server";
    m_metrics.count("swiftloft_entry_torn_responses_total", { { "service", call.service.value() }, { "closed_by", closedBy } });
    log::write(log::Event::ResponseTorn, "id={} server={} closed-by={}", call.head.id, connection.server.id.value(), closedBy);
    return true;
}

asio::awaitable<AttemptOutcome> RequestServer::forwardWhole(Call& call, Response from)
{
    // A success response without the server's signature does not come from the server.
    if (isSuccess(from.head.status) && !from.head.isSigned)
        co_return AttemptOutcome::Lost;
    // The parser adds trailers to its head.
    http::response_header<> responseHead(from.parser->get().base());
    std::string body;
    std::array<char, 16384> bytes;
    std::optional<ResponseMemory::Share> memory(std::in_place, m_responseMemory);
    while (!from.parser->is_done()) {
        // The response to a request for a stream is a stream elsewhere.
        call.isReading = !call.route->isStream;
        auto [size, ec] = co_await readBody(*from.connection, *from.parser, bytes);
        bool isInterrupted = isOffered(call, ec);
        body.append(bytes.data(), size);
        bool hasMemory = memory->add(Clock::now(), size);
        if (ec == beast::error::timeout)
            co_return Clock::now() + responseMargin >= call.deadline ? AttemptOutcome::TimedOut : AttemptOutcome::Lost;
        // A response without a length is complete only if its connection is closed cleanly.
        if ((ec && !isInterrupted) || !hasMemory || body.size() > maxResponseBytes)
            co_return AttemptOutcome::Lost;
        if (!isInterrupted)
            continue;
        auto taken = co_await takeOver(call, *from.connection);
        if (call.isCancelled)
            co_return AttemptOutcome::Lost;
        if (!taken)
            continue;
        from = std::move(*taken);
        responseHead = from.parser->get().base();
        body.clear();
        memory.emplace(m_responseMemory);
    }
    auto& [connection, ownedParser, head] = from;
    auto& parser = *ownedParser;
    call.endsWithConnection = parser.need_eof();
    ClientResponse response(std::move(responseHead));
    eraseHopByHop(response.base());
    if (isTorn(call, *connection))
        co_return AttemptOutcome::Lost;
    call.upstream = nullptr;
    releaseConnection(std::move(connection), parser);
    response.version(call.request.version());
    response.body() = std::move(body);
    if (call.request.method() != http::verb::head)
        response.content_length(response.body().size());
    call.firstByteAt = Clock::now();
    if (isServerError(head.status) || call.hasStreamStarted) {
        call.serverError = std::move(response);
        co_return AttemptOutcome::ServerError;
    }
    call.status = head.status;
    call.handle->reportResponseReceived();
    releaseBody(call);
    memory->startDelivery(Clock::now(), [&call] { call.client.reset(ConnectionEnd::MemoryNeeded); });
    co_await call.client.writeResponse(response);
    co_return AttemptOutcome::Answered;
}

asio::awaitable<AttemptOutcome> RequestServer::forwardStream(Call& call, Response from)
{
    std::array<char, 16384> bytes;
    if (!from.head.isSigned)
        co_return AttemptOutcome::Lost;
    if (!call.hasStreamStarted) {
        ResponseFields head(from.parser->get().base());
        eraseHopByHop(head);
        head.erase(http::field::content_length);
        head.version(11);
        call.status = 200;
        call.hasStreamStarted = true;
        co_await call.client.writeHead(std::move(head));
    }
    call.endsWithConnection = from.parser->need_eof();
    bool hasData = false;
    while (!from.parser->is_done()) {
        if (call.isCancelled)
            co_return AttemptOutcome::Lost;
        call.isReading = true;
        auto [size, ec] = co_await readBody(*from.connection, *from.parser, bytes);
        bool isInterrupted = isOffered(call, ec);
        hasData = hasData || size > 0;
        if (size > 0 && !co_await forwardEvents(call, std::string_view(bytes.data(), size)))
            co_return AttemptOutcome::Lost;
        if (call.splitter.isEventTooLarge())
            co_return AttemptOutcome::Lost;
        if (isInterrupted) {
            auto taken = co_await takeOver(call, *from.connection);
            if (!taken)
                continue;
            from = std::move(*taken);
            call.endsWithConnection = from.parser->need_eof();
            hasData = false;
            continue;
        }
        if (ec == beast::error::timeout)
            co_return AttemptOutcome::TimedOut;
        if (ec)
            co_return AttemptOutcome::Lost;
    }
    auto& [connection, ownedParser, head] = from;
    auto& parser = *ownedParser;
    // A server that crashes before the first event closes such a connection in the same way.
    bool isCutOff = call.splitter.hasPartialEvent() || (call.endsWithConnection && !hasData) || isTorn(call, *connection);
    if (isCutOff)
        co_return AttemptOutcome::Lost;
    call.upstream = nullptr;
    releaseConnection(std::move(connection), parser);
    co_await call.client.writeLastChunk();
    co_return AttemptOutcome::Answered;
}

/// Appends `bytes` to the stream and forwards each event that is then complete. Skips events that the client already has,
/// according to their ids. Returns false if the ids show that an event is missing; those before it are forwarded.
asio::awaitable<bool> RequestServer::forwardEvents(Call& call, std::string_view bytes)
{
    std::string out;
    bool isMissingEvent = false;
    for (auto& event : call.splitter.append(bytes)) {
        if (event.id && call.lastEvent) {
            // A server that restarts the stream sends events again that the client already has.
            if (*event.id <= *call.lastEvent)
                continue;
            isMissingEvent = *event.id != *call.lastEvent + 1;
            if (isMissingEvent)
                break;
        }
        if (event.id)
            call.lastEvent = event.id;
        out += event.bytes;
    }
    if (out.empty())
        co_return !isMissingEvent;
    auto now = Clock::now();
    if (!call.firstByteAt) {
        call.firstByteAt = now;
        call.handle->reportResponseStarted();
    } else {
        call.handle->reportProgress();
        call.longestEventGap = std::max(call.longestEventGap, std::chrono::duration_cast<milliseconds>(now - call.lastEventAt));
    }
    call.lastEventAt = now;
    co_await call.client.writeChunk(std::move(out));
    call.handle->reportDelivered();
    co_return !isMissingEvent;
}

void RequestServer::releaseConnection(UpstreamConnectionPtr connection, const ResponseParser& parser)
{
    // Bytes after a complete response belong to no request. If the connection were reused, the next request on it would
    // get them.
    bool isClean = parser.is_done() && parser.keep_alive() && !parser.need_eof() && connection->buffer.size() == 0;
    connection->isInUse = !parser.is_done();
    if (!isClean)
        return;
    m_pool.release(std::move(connection), Clock::now() + UpstreamPool::idleTimeout);
}

} // namespace swiftloft::gateway
