#include "src/process/status-server.h"

#include "src/process/request-reader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <chrono>

namespace swiftloft::process {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::awaitable;
using boost::asio::use_awaitable;

namespace {

constexpr std::chrono::seconds idleLimit { 30 };
constexpr std::size_t maxHeaderBytes { std::size_t { 8 } << 10 };
/// Requests for pages need no body.
constexpr std::size_t maxBodyBytes { 1024 };
/// Time for which the bytes of a client that was refused are discarded, so that it can read the refusal.
constexpr std::chrono::seconds discardTimeout { 2 };
/// Delay after a failed accept, for example when no file descriptors are left.
constexpr std::chrono::milliseconds acceptRetryDelay { 20 };

http::response<http::string_body> toResponse(const ClientRequest& request, StatusAnswer answer)
{
    http::response<http::string_body> response(static_cast<http::status>(answer.status), request.version());
    response.set(http::field::content_type, answer.contentType);
    response.body() = std::move(answer.body);
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    return response;
}

StatusAnswer refusal(ReadError error)
{
    return { statusOf(error), "text/plain", fmt::format("{}\n", toString(error)) };
}

/// Keeps the bounds, since it may end after the server.
awaitable<void> serve(beast::tcp_stream stream, std::shared_ptr<ClientBounds> bounds, std::function<StatusAnswer(const ClientRequest&)> answer)
{
    RequestReader reader(stream, *bounds, [&stream] { stream.close(); });
    ReadLimits limits { maxHeaderBytes, maxBodyBytes, idleLimit, idleLimit, Clock::now() + idleLimit };
    for (; reader.isAdmitted() && co_await reader.waitForRequest(limits.deadline); limits.deadline = Clock::now() + idleLimit) {
        ClientRequest request;
        auto error = co_await reader.read(limits, request);
        if (error == ReadError::Closed)
            co_return;
        if (error != ReadError::None)
            request.keep_alive(false);
        auto response = toResponse(request, error == ReadError::None ? answer(request) : refusal(error));
        if (!reader.hold(response.body().size()))
            co_return;
        reader.onStalled();
        stream.expires_at(Clock::now() + idleLimit);
        co_await http::async_write(stream, response, use_awaitable);
        if (error != ReadError::None)
            co_return co_await closeInOrder(stream, Clock::now() + discardTimeout);
        if (!request.keep_alive())
            co_return;
    }
}

} // namespace

StatusServer::StatusServer(boost::asio::io_context& ioContext, const boost::asio::ip::tcp::endpoint& endpoint, const ClientBounds::Options& bounds)
    : m_bounds(std::make_shared<ClientBounds>(bounds))
    , m_acceptor(ioContext, endpoint)
    , m_acceptTimer(ioContext)
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
    m_acceptTimer.cancel();
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
            co_spawn(m_acceptor.get_executor(), serve(beast::tcp_stream(std::move(socket)), m_bounds, answer), [](const std::exception_ptr&) {});
            return accept();
        }
        m_acceptTimer.expires_at(Clock::now() + acceptRetryDelay);
        m_acceptTimer.async_wait([this](boost::system::error_code ec) {
            if (!ec)
                accept();
        });
    });
}

} // namespace swiftloft::process
