#include "src/process/status-server.h"

#include "src/process/http-limits.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>

namespace swiftloft::process {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::awaitable;
using boost::asio::use_awaitable;

namespace {

constexpr std::chrono::seconds idleLimit { 30 };

http::response<http::string_body> toResponse(const http::request<http::string_body>& request, StatusAnswer answer)
{
    http::response<http::string_body> response(static_cast<http::status>(answer.status), request.version());
    response.set(http::field::content_type, answer.contentType);
    response.body() = std::move(answer.body);
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    return response;
}

awaitable<void> serve(beast::tcp_stream stream, std::function<StatusAnswer(const http::request<http::string_body>&)> answer)
{
    beast::flat_buffer buf(maxUnparsedBytes);
    for (;;) {
        http::request<http::string_body> request;
        stream.expires_at(std::chrono::steady_clock::now() + idleLimit);
        co_await http::async_read(stream, buf, request, use_awaitable);
        auto response = toResponse(request, answer(request));
        co_await http::async_write(stream, response, use_awaitable);
        if (!request.keep_alive())
            co_return;
    }
}

} // namespace

StatusServer::StatusServer(boost::asio::io_context& ioContext, const boost::asio::ip::tcp::endpoint& endpoint)
    : m_acceptor(ioContext, endpoint)
{
    accept();
}

void StatusServer::add(const std::string& path, Page page)
{
    m_pages[path] = std::move(page);
}

void StatusServer::close()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
}

StatusAnswer StatusServer::answerFor(std::string_view target) const
{
    auto it = m_pages.find(target.substr(0, target.find('?')));
    if (it == m_pages.end())
        return { 404, "text/plain", "no such page\n" };
    return it->second();
}

void StatusServer::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted)
            return;
        if (!ec) {
            auto answer = [this](const http::request<http::string_body>& request) -> StatusAnswer {
                if (request.method() != http::verb::get)
                    return { 405, "text/plain", "only GET\n" };
                return answerFor({ request.target().data(), request.target().size() });
            };
            // A connection that ends in an error is closed like any other.
            co_spawn(m_acceptor.get_executor(), serve(beast::tcp_stream(std::move(socket)), answer), [](const std::exception_ptr&) {});
        }
        accept();
    });
}

} // namespace swiftloft::process
