#include "src/agent/engine-monitor.h"

#include "src/process/fetch-page.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>

namespace swiftloft::agent {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::use_awaitable;

namespace {

constexpr milliseconds pollInterval { 200 };
constexpr milliseconds responseTimeout { 1500 };
/// Weight of the newest sample in the moving average of the engine's throughput.
constexpr double speedSampleWeight = 0.2;

/// True for an error that the peer causes. Others, such as a lack of descriptors here, say nothing about the engine.
bool hasEnded(const boost::system::error_code& ec)
{
    return ec == asio::error::connection_refused || ec == asio::error::connection_reset || ec == asio::error::connection_aborted || ec == asio::error::broken_pipe || ec == asio::error::eof || ec == beast::http::error::end_of_stream || ec == beast::http::error::partial_message;
}

double numberAt(const boost::json::object& object, const char* name)
{
    auto value = object.if_contains(name);
    return value && value->is_number() ? value->to_number<double>() : 0;
}

} // namespace

EngineMonitor::EngineMonitor(asio::io_context& ioContext, asio::ip::tcp::endpoint engine, std::function<void(const Event&)> onEvent)
    : m_ioContext(ioContext)
    , m_engine(std::move(engine))
    , m_onEvent(std::move(onEvent))
    , m_timer(ioContext)
{
}

void EngineMonitor::start()
{
    co_spawn(m_ioContext, poll(), asio::detached);
}

asio::awaitable<void> EngineMonitor::poll()
{
    for (;;) {
        auto probedAt = Clock::now();
        reportState(co_await probe(), probedAt);
        m_timer.expires_at(probedAt + pollInterval);
        boost::system::error_code ec;
        co_await m_timer.async_wait(asio::redirect_error(use_awaitable, ec));
    }
}

asio::awaitable<EngineMonitor::State> EngineMonitor::probe()
{
    try {
        updateSpeed(co_await process::fetchPage(m_ioContext, m_engine, "/load", Clock::now() + responseTimeout));
        co_return State::Up;
    } catch (const Exception&) {
        // A server without a load page responds with an error. Any response shows that it is up.
        co_return State::Up;
    } catch (const boost::system::system_error& error) {
        co_return hasEnded(error.code()) ? State::Unreachable : State::Unresponsive;
    }
}

// Engines report their current output, which is low while few requests run. The time that a backlog takes depends on the
// throughput of a full batch: the tokens per second of one request times the batch size. A body that is not a JSON object is
// ignored: a server without a load page may respond with anything.
void EngineMonitor::updateSpeed(const std::string& body)
{
    boost::json::error_code ec;
    auto value = boost::json::parse(body, ec);
    auto object = ec ? nullptr : value.if_object();
    if (!object)
        return;
    auto running = numberAt(*object, "running");
    auto batch = numberAt(*object, "batch");
    auto currentSpeed = numberAt(*object, "tokens_per_second");
    if (running <= 0 || batch <= 0 || currentSpeed <= 0)
        return;
    auto fullBatchSpeed = currentSpeed / std::min(running, batch) * batch;
    m_tokensPerSecond = m_tokensPerSecond <= 0 ? fullBatchSpeed : m_tokensPerSecond + speedSampleWeight * (fullBatchSpeed - m_tokensPerSecond);
}

void EngineMonitor::reportState(State state, TimePoint probedAt)
{
    if (state == State::Up)
        m_onEvent(EngineUp { m_tokensPerSecond, probedAt, Clock::now() });
    else
        m_onEvent(EngineDown { state == State::Unreachable, probedAt, Clock::now() });
}

} // namespace swiftloft::agent
