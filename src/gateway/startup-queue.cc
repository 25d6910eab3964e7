#include "src/gateway/startup-queue.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace swiftloft::gateway {

namespace asio = boost::asio;

asio::awaitable<void> StartupQueue::wait(TimePoint deadline)
{
    auto end = admission::startupWaitEnd(Clock::now(), { m_startedAt, m_waiting.size() }, deadline);
    if (!m_isOn || !end)
        co_return;
    asio::steady_timer timer(co_await asio::this_coro::executor, *end);
    m_waiting.insert(&timer);
    struct Unregister {
        std::set<asio::steady_timer*>& waiting;
        asio::steady_timer* timer;
        ~Unregister() { waiting.erase(timer); }
    } unregister { m_waiting, &timer };
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

void StartupQueue::onReady()
{
    for (auto* timer : m_waiting)
        timer->cancel();
}

void StartupQueue::close()
{
    m_isOn = false;
    onReady();
}

} // namespace swiftloft::gateway
