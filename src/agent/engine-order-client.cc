#include "src/agent/engine-order-client.h"

#include "src/process/http-limits.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace swiftloft::agent {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace engine_json = expertmap::engine_json;
using asio::use_awaitable;

namespace {

/// Time limit of one order and its response. The rank agent reads the engine's status again long before; this limit
/// only frees the connection.
constexpr milliseconds responseTimeout { 1000 };
constexpr unsigned httpVersion11 = 11;

bool isResponseStatus(http::status status)
{
    // The refusal of an outdated fencing number also carries the engine's status and its highest fencing number.
    return status == http::status::ok || status == http::status::conflict;
}

} // namespace

struct EngineOrderClient::Connection {
    explicit Connection(asio::io_context& ioContext)
        : stream(ioContext)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { process::maxUnparsedBytes };
    bool isOpen { false };
    bool isBusy { false };
};

EngineOrderClient::EngineOrderClient(asio::io_context& ioContext, asio::ip::tcp::endpoint engine, Hooks hooks)
    : m_ioContext(ioContext)
    , m_engine(std::move(engine))
    , m_hooks(std::move(hooks))
{
}

EngineOrderClient::~EngineOrderClient() = default;

void EngineOrderClient::send(const expertmap::EngineOrder& order, const expertmap::ExpertMap* map)
{
    // An engine that hangs may respond much later. On the same connection its response would be taken for that of a
    // newer order, so the connection is closed together with the abandoned order.
    if (m_connection && m_connection->isBusy) {
        m_connection->stream.close();
        m_connection.reset();
    }
    if (!m_connection)
        m_connection = std::make_shared<Connection>(m_ioContext);
    m_connection->isBusy = true;
    asio::co_spawn(m_ioContext, exchange(m_connection, order.id, engine_json::toJson(order, map)), asio::detached);
}

asio::awaitable<void> EngineOrderClient::exchange(std::shared_ptr<Connection> connection, std::uint64_t id, std::string body)
{
    try {
        auto& stream = connection->stream;
        stream.expires_at(Clock::now() + responseTimeout);
        if (!connection->isOpen)
            co_await stream.async_connect(m_engine, use_awaitable);
        connection->isOpen = true;
        http::request<http::string_body> request(http::verb::post, engine_json::ordersPath, httpVersion11);
        request.body() = std::move(body);
        request.prepare_payload();
        co_await http::async_write(stream, request, use_awaitable);
        http::response<http::string_body> response;
        co_await http::async_read(stream, connection->buffer, response, use_awaitable);
        stream.expires_never();
        auto answer = engine_json::parseResponse(response.body());
        if (connection != m_connection)
            co_return;
        if (!isResponseStatus(response.result()) || !answer || !response.keep_alive()) {
            handleDisconnect(connection);
            co_return;
        }
        connection->isBusy = false;
        m_hooks.onResponse({ id, answer->status, answer->fence });
    } catch (const boost::system::system_error&) {
        handleDisconnect(connection);
    }
}

void EngineOrderClient::handleDisconnect(const std::shared_ptr<Connection>& connection)
{
    if (connection != m_connection)
        return;
    m_connection.reset();
    m_hooks.onDisconnected();
}

} // namespace swiftloft::agent
