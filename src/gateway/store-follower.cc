#include "src/gateway/store-follower.h"

#include "src/log/logger.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace swiftloft::gateway {

namespace asio = boost::asio;

StoreFollower::StoreFollower(asio::io_context& ioContext, const Store& store, Topic topic, OnEvent onEvent)
    : m_ioContext(ioContext)
    , m_store(store)
    , m_topic(topic)
    , m_onEvent(std::move(onEvent))
    , m_timer(ioContext)
{
}

void StoreFollower::start(TimePoint notBefore)
{
    co_spawn(m_ioContext, follow(notBefore), asio::detached);
}

void StoreFollower::setActive(bool isActive)
{
    m_isActive = isActive;
    m_cursor.reset();
    m_timer.cancel();
}

void StoreFollower::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

asio::awaitable<void> StoreFollower::follow(TimePoint notBefore)
{
    co_await sleepUntil(notBefore);
    while (!m_isStopped) {
        if (!m_isActive) {
            m_timer.expires_at(TimePoint::max());
            boost::system::error_code ec;
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        std::string problem;
        try {
            co_await poll();
            m_backOff = initialBackOff;
            m_isFailing = false;
            continue;
        } catch (const HistoryLost&) {
            m_cursor.reset();
            continue;
        } catch (const std::exception& error) {
            problem = error.what();
        }
        if (!std::exchange(m_isFailing, true))
            log::write(log::Event::PlatformUnreachable, "topic={} problem=\"{}\"", nameOf(m_topic), problem);
        if (!m_isActive)
            continue;
        m_onEvent(control::StoreFailed { m_topic });
        co_await backOff();
    }
}

asio::awaitable<void> StoreFollower::poll()
{
    auto now = Clock::now();
    auto era = m_cursor.era();
    if (!m_cursor.knownRevision()) {
        auto items = co_await m_store.list(m_topic, now + answerTimeout);
        if (m_isActive && shouldApply(m_cursor.onListed(items), era))
            m_onEvent(control::StoreListed { m_topic, std::move(items) });
        co_return;
    }
    auto waitUntil = now + watchTimeout;
    auto changes = co_await m_store.watch(m_topic, *m_cursor.knownRevision(), waitUntil, waitUntil + answerTimeout);
    if (!m_isActive || !m_cursor.knownRevision() || !shouldApply(m_cursor.onChanged(changes), era))
        co_return;
    bool hasChanges = !changes.items.empty() || !changes.evacuations.empty();
    m_onEvent(control::StoreChanged { m_topic, std::move(changes) });
    if (hasChanges)
        co_await sleepUntil(Clock::now() + batchDelay);
}

bool StoreFollower::shouldApply(StoreCursor::Action action, StoreEra previousEra)
{
    if (previousEra != StoreEra() && m_cursor.era() != previousEra)
        log::write(log::Event::StoreReturned, "topic={} before={} after={}", nameOf(m_topic), previousEra.value(), m_cursor.era().value());
    if (action == StoreCursor::Action::RejectStale)
        throw Exception({ ErrorCode::Stale, fmt::format("the store answered from before its return in era {}", previousEra.value()) });
    return action == StoreCursor::Action::Apply;
}

asio::awaitable<void> StoreFollower::backOff()
{
    auto until = Clock::now() + m_backOff;
    m_backOff = std::min(2 * m_backOff, maxBackOff);
    co_await sleepUntil(until);
}

asio::awaitable<void> StoreFollower::sleepUntil(TimePoint time)
{
    m_timer.expires_at(time);
    boost::system::error_code ec;
    co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace swiftloft::gateway
