#pragma once

#include "src/gateway/control-state.h"
#include "src/gateway/store-cursor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>

namespace swiftloft::gateway {

/// Follows the topics of the platform's store: lists each of them, then watches all of them with one call at a time,
/// and lists them again when the store no longer knows what changed. Belongs to the control thread.
class StoreFollower {
public:
    using OnEvent = std::function<void(const control::Event&)>;

    /// Share of the time within which a published change must be in force that one watch waits for a change. A
    /// connection whose other end no longer responds is noticed only when a watch gets no response in time.
    static constexpr double watchTimeShare { 0.75 };
    /// Share of the same time that passes between a watch that returned changes and the next one. Changes come in
    /// bursts, for example when a group of servers starts. The delay lets one call fetch several of them: calls are
    /// expensive.
    static constexpr double batchTimeShare { 0.04 };
    /// Time that the store may take to respond to a call, in addition to the waiting time of a watch. A healthy store
    /// responds in 4 ms, a slow one took up to 250 ms.
    static constexpr milliseconds answerTimeout { 900 };
    /// Back-off after a failed call, doubled up to a maximum. The back-off keeps the fleet from flooding a store that
    /// is down.
    static constexpr milliseconds initialBackOff { 100 };

    StoreFollower(boost::asio::io_context& ioContext, const Store& store, milliseconds applyTimeout, OnEvent onEvent);

    /// Makes calls once it is active.
    void start();
    /// Makes no calls while inactive. Lists the topics again when it becomes active.
    void setActive(bool isActive);
    /// Maximum back-off after failed calls.
    void setMaxBackOff(milliseconds maxBackOff) { m_maxBackOff = maxBackOff; }
    void stop();

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> poll();
    boost::asio::awaitable<void> list(Topic topic);
    boost::asio::awaitable<void> watch();
    /// Returns true when `action`, the cursor's decision, is to apply the items that the store returned, and false when
    /// they must be ignored. Throws `Stale` when the items are from before a restore of the store.
    bool shouldApply(Topic topic, StoreCursor::Action action, StoreEra previousEra);
    void resetCursors();
    boost::asio::awaitable<void> backOff();
    boost::asio::awaitable<void> sleepUntil(TimePoint time);

    boost::asio::io_context& m_ioContext;
    const Store& m_store;
    milliseconds m_applyTimeout;
    OnEvent m_onEvent;
    boost::asio::steady_timer m_timer;
    std::map<Topic, StoreCursor> m_cursors;
    milliseconds m_backOff { initialBackOff };
    milliseconds m_maxBackOff { initialBackOff };
    bool m_isFailing { false };
    bool m_isActive { false };
    bool m_isStopped { false };
};

} // namespace swiftloft::gateway
