#include "src/gateway/store-follower.h"

#include "src/log/logger.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace swiftloft::gateway {

namespace asio = boost::asio;

namespace {

Clock::duration shareOf(milliseconds time, double share)
{
    return std::chrono::duration_cast<Clock::duration>(share * time);
}

} // namespace

StoreFollower::StoreFollower(asio::io_context& ioContext, const Store& store, milliseconds applyTimeout, OnEvent onEvent)
    : m_ioContext(ioContext)
    , m_store(store)
    , m_applyTimeout(applyTimeout)
    , m_onEvent(std::move(onEvent))
    , m_timer(ioContext)
    , m_cursors { { Topic::Configuration, {} }, { Topic::Servers, {} } }
{
}

void StoreFollower::start()
{
    co_spawn(m_ioContext, follow(), asio::detached);
}

void StoreFollower::setActive(bool isActive)
{
    if (isActive == m_isActive)
        return;
    m_isActive = isActive;
    resetCursors();
    m_timer.cancel();
}

void StoreFollower::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void StoreFollower::resetCursors()
{
    for (auto& [topic, cursor] : m_cursors)
        cursor.reset();
}

asio::awaitable<void> StoreFollower::follow()
{
    while (!m_isStopped) {
        if (!m_isActive) {
            co_await sleepUntil(TimePoint::max());
            continue;
        }
        std::string problem;
        try {
            co_await poll();
            m_backOff = initialBackOff;
            m_isFailing = false;
            continue;
        } catch (const HistoryLost&) {
            resetCursors();
            continue;
        } catch (const std::exception& error) {
            problem = error.what();
        }
        if (!std::exchange(m_isFailing, true))
            log::write(log::Event::PlatformUnreachable, "topic=all problem=\"{}\"", problem);
        if (!m_isActive)
            continue;
        for (auto& [topic, cursor] : m_cursors)
            m_onEvent(control::StoreFailed { topic });
        co_await backOff();
    }
}

asio::awaitable<void> StoreFollower::poll()
{
    for (auto& [topic, cursor] : m_cursors) {
        if (!cursor.knownRevision())
            co_return co_await list(topic);
    }
    co_await watch();
}

asio::awaitable<void> StoreFollower::list(Topic topic)
{
    auto& cursor = m_cursors[topic];
    auto era = cursor.era();
    auto items = co_await m_store.list(topic, Clock::now() + answerTimeout);
    if (m_isActive && shouldApply(topic, cursor.onListed(items), era))
        m_onEvent(control::StoreListed { topic, std::move(items) });
}

asio::awaitable<void> StoreFollower::watch()
{
    auto after = m_cursors.begin()->second.knownRevision();
    for (auto& [topic, cursor] : m_cursors)
        after = std::min(after, cursor.knownRevision());
    auto waitUntil = Clock::now() + shareOf(m_applyTimeout, watchTimeShare);
    auto changes = co_await m_store.watch(*after, waitUntil, waitUntil + answerTimeout);
    bool hasReturnedEarly = Clock::now() < waitUntil;
    for (auto& [topic, items] : changes) {
        auto& cursor = m_cursors[topic];
        auto era = cursor.era();
        // The follower may have been made inactive during the call.
        if (m_isActive && cursor.knownRevision() && shouldApply(topic, cursor.onChanged(items), era))
            m_onEvent(control::StoreChanged { topic, std::move(items) });
    }
    if (m_isActive && hasReturnedEarly)
        co_await sleepUntil(Clock::now() + shareOf(m_applyTimeout, batchTimeShare));
}

bool StoreFollower::shouldApply(Topic topic, StoreCursor::Action action, StoreEra previousEra)
{
    auto era = m_cursors[topic].era();
    if (previousEra != StoreEra() && era != previousEra)
        log::write(log::Event::StoreReturned, "topic={} before={} after={}", nameOf(topic), previousEra.value(), era.value());
    if (action == StoreCursor::Action::RejectStale)
        throw Exception({ ErrorCode::Stale, fmt::format("the store answered from before its return in era {}", previousEra.value()) });
    return action == StoreCursor::Action::Apply;
}

asio::awaitable<void> StoreFollower::backOff()
{
    auto until = Clock::now() + m_backOff;
    m_backOff = std::min(2 * m_backOff, m_maxBackOff);
    co_await sleepUntil(until);
}

asio::awaitable<void> StoreFollower::sleepUntil(TimePoint time)
{
    m_timer.expires_at(time);
    boost::system::error_code ec;
    co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace swiftloft::gateway
