#include "src/agent/engine-monitor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace swiftloft::agent {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::use_awaitable;

namespace {

constexpr milliseconds pollInterval { 200 };
constexpr milliseconds answerLimit { 1500 };
constexpr unsigned httpVersion11 = 11;

} // namespace

EngineMonitor::EngineMonitor(asio::io_context& ioContext, asio::ip::tcp::endpoint engine, std::function<void(const Event&)> onEvent)
    : m_ioContext(ioContext)
    , m_engine(std::move(engine))
    , m_onEvent(std::move(onEvent))
{
}

void EngineMonitor::start()
{
    co_spawn(m_ioContext, poll(), asio::detached);
}

asio::awaitable<void> EngineMonitor::poll()
{
    asio::steady_timer timer(m_ioContext);
    for (;;) {
        enter(co_await probe());
        timer.expires_at(Clock::now() + pollInterval);
        co_await timer.async_wait(use_awaitable);
    }
}

// A fresh connection each time: a kept one can go silent while the engine is well, or outlive a restart unnoticed.
asio::awaitable<EngineMonitor::State> EngineMonitor::probe()
{
    try {
        beast::tcp_stream stream(m_ioContext);
        stream.expires_at(Clock::now() + answerLimit);
        co_await stream.async_connect(m_engine, use_awaitable);
        http::request<http::empty_body> request(http::verb::get, "/load", httpVersion11);
        request.keep_alive(false);
        co_await http::async_write(stream, request, use_awaitable);
        beast::flat_buffer buf;
        http::response<http::string_body> response;
        co_await http::async_read(stream, buf, response, use_awaitable);
        co_return State::Up;
    } catch (const boost::system::system_error& error) {
        co_return error.code() == beast::error::timeout ? State::Silent : State::Gone;
    }
}

void EngineMonitor::enter(State state)
{
    if (state == m_state)
        return;
    m_state = state;
    if (state == State::Up)
        m_onEvent(EngineUp { Clock::now() });
    else
        m_onEvent(EngineDown { state == State::Gone, Clock::now() });
}

} // namespace swiftloft::agent
