#include "standin/http-server.h"

#include "src/log/logger.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/url.hpp>
#include <fmt/format.h>

#include <charconv>

#include <sys/socket.h>

namespace swiftloft::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr std::uint64_t bodyLimit = 8 * 1024 * 1024;

bool peerHasClosed(tcp::socket& socket)
{
    char byte;
    auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

} // namespace

Result<tcp::endpoint> parseEndpoint(std::string_view text)
{
    auto malformed = [&] { return Error { ErrorCode::InvalidArgument, fmt::format("'{}' is not IP:PORT", text) }; };
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformed();
    boost::system::error_code ec;
    auto address = asio::ip::make_address(std::string(text.substr(0, colon)), ec);
    std::uint16_t port = 0;
    auto digits = text.substr(colon + 1);
    auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
        return malformed();
    return tcp::endpoint(address, port);
}

Exchange::Exchange(tcp::socket& socket, HttpRequest request)
    : m_socket(socket)
    , m_request(std::move(request))
    , m_isAlive(std::make_shared<bool>(true))
{
    std::string_view target(m_request.target().data(), m_request.target().size());
    auto mark = target.find('?');
    m_path = target.substr(0, mark);
    if (mark != std::string_view::npos)
        m_query = target.substr(mark + 1);
}

Exchange::~Exchange()
{
    *m_isAlive = false;
    if (m_isWatching) {
        boost::system::error_code ec;
        m_socket.cancel(ec);
    }
}

std::string Exchange::query(std::string_view name) const
{
    auto parsed = boost::urls::parse_query(m_query);
    if (!parsed)
        return {};
    for (auto param : *parsed) {
        if (*param.key == name)
            return std::string(param.value);
    }
    return {};
}

std::string Exchange::header(std::string_view name) const
{
    auto it = m_request.find(boost::beast::string_view(name.data(), name.size()));
    return it == m_request.end() ? std::string() : std::string(it->value().data(), it->value().size());
}

void Exchange::setHeader(std::string_view name, std::string_view value)
{
    m_extraHeaders.set(boost::beast::string_view(name.data(), name.size()), boost::beast::string_view(value.data(), value.size()));
}

HttpResponse Exchange::responseHead(HttpStatus status, const std::string& contentType) const
{
    HttpResponse response(status, m_request.version());
    for (auto& field : m_extraHeaders)
        response.set(field.name_string(), field.value());
    response.set(http::field::content_type, contentType);
    response.keep_alive(m_request.keep_alive());
    return response;
}

awaitable<void> Exchange::reply(HttpStatus status, std::string contentType, std::string body)
{
    if (m_endsWithConnection) {
        co_await startAnswer(status, std::move(contentType));
        co_await sendChunk(std::move(body));
        co_return co_await finishStream();
    }
    m_hasReplied = true;
    auto response = responseHead(status, contentType);
    response.body() = std::move(body);
    response.prepare_payload();
    co_await http::async_write(m_socket, response, use_awaitable);
}

awaitable<void> Exchange::replyJson(HttpStatus status, std::string body)
{
    return reply(status, "application/json", std::move(body));
}

awaitable<void> Exchange::startStream(std::string contentType)
{
    return startAnswer(HttpStatus::ok, std::move(contentType));
}

awaitable<void> Exchange::startAnswer(HttpStatus status, std::string contentType)
{
    m_hasReplied = true;
    auto head = responseHead(status, contentType);
    http::response<http::empty_body> response(head.base());
    if (m_endsWithConnection)
        response.keep_alive(false);
    else
        response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    co_await http::async_write_header(m_socket, serializer, use_awaitable);
}

awaitable<void> Exchange::sendChunk(std::string bytes)
{
    if (m_endsWithConnection) {
        co_await asio::async_write(m_socket, asio::buffer(bytes), use_awaitable);
        co_return;
    }
    auto buf = http::make_chunk(asio::buffer(bytes));
    co_await asio::async_write(m_socket, buf, use_awaitable);
}

awaitable<void> Exchange::finishStream()
{
    if (m_endsWithConnection) {
        drop();
        co_return;
    }
    auto end = http::make_chunk_last();
    co_await asio::async_write(m_socket, end, use_awaitable);
}

void Exchange::whenPeerCloses(std::function<void()> hook)
{
    m_isWatching = true;
    m_socket.async_wait(tcp::socket::wait_read, [this, isAlive = m_isAlive, hook = std::move(hook)](boost::system::error_code ec) {
        if (!ec && *isAlive && peerHasClosed(m_socket))
            hook();
    });
}

void Exchange::drop()
{
    m_hasReplied = true;
    boost::system::error_code ec;
    m_socket.close(ec);
}

HttpServer::HttpServer(asio::io_context& io, Handler handler)
    : m_io(io)
    , m_acceptor(io)
    , m_handler(std::move(handler))
{
}

Result<std::unique_ptr<HttpServer>> HttpServer::create(asio::io_context& io, const std::string& listen, Handler handler)
{
    auto endpoint = parseEndpoint(listen);
    if (!endpoint)
        return endpoint.error();
    std::unique_ptr<HttpServer> server(new HttpServer(io, std::move(handler)));
    try {
        server->m_acceptor.open(endpoint->protocol());
        server->m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        server->m_acceptor.bind(*endpoint);
        server->m_acceptor.listen();
    } catch (const boost::system::system_error& error) {
        return Error { ErrorCode::Unavailable, fmt::format("cannot listen on {}: {}", listen, error.code().message()) };
    }
    asio::co_spawn(io, server->acceptLoop(), asio::detached);
    return server;
}

awaitable<void> HttpServer::acceptLoop()
{
    for (;;) {
        boost::system::error_code ec;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (!ec)
            asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
    }
}

awaitable<void> HttpServer::serve(tcp::socket socket)
{
    boost::beast::flat_buffer buf;
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    bool keepsAlive = true;
    while (keepsAlive && socket.is_open()) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(bodyLimit);
        co_await http::async_read(socket, buf, parser, asio::redirect_error(use_awaitable, ec));
        if (ec)
            co_return;
        Exchange exchange(socket, parser.release());
        keepsAlive = exchange.request().keep_alive();
        co_await handleOne(exchange);
        keepsAlive = keepsAlive && exchange.hasReplied();
    }
}

awaitable<void> HttpServer::handleOne(Exchange& exchange)
{
    auto status = HttpStatus::ok;
    std::string failure;
    try {
        co_await m_handler(exchange);
        co_return;
    } catch (const boost::system::system_error&) {
        exchange.drop();
        co_return;
    } catch (const Exception& error) {
        status = HttpStatus::bad_request;
        failure = error.what();
    } catch (const std::exception& error) {
        status = HttpStatus::internal_server_error;
        failure = error.what();
    }
    log::write(log::Event::StandinRequestFailed, "target={} error=\"{}\"", std::string(exchange.path()), failure);
    if (exchange.hasReplied()) {
        exchange.drop();
        co_return;
    }
    try {
        co_await exchange.reply(status, "text/plain", failure + "\n");
    } catch (const boost::system::system_error&) {
        exchange.drop();
    }
}

} // namespace swiftloft::standin
