#pragma once

#include "src/gateway/control-state.h"
#include "src/gateway/store-cursor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace swiftloft::gateway {

/// Follows one topic of the platform's store: lists it, then watches for changes, and lists it again when the store no
/// longer knows what changed. Belongs to the control thread.
class StoreFollower {
public:
    using OnEvent = std::function<void(const control::Event&)>;

    /// How long one watch waits for a change. A connection whose other end no longer responds is noticed only when a
    /// watch gets no response in time. A published configuration must be in force within two seconds, so the wait must
    /// be shorter than that.
    static constexpr milliseconds watchTimeout { 1500 };
    /// Time that the store may take to respond to a call, in addition to the waiting time of a watch. A healthy store
    /// responds in 4 ms, a slow one took up to 250 ms.
    static constexpr milliseconds answerTimeout { 900 };
    /// Delay of the next watch after one that returned changes. Changes come in bursts, for example when a group of
    /// servers starts. The delay lets one call fetch several of them: calls are expensive, and a change has seconds to
    /// take effect.
    static constexpr milliseconds batchDelay { 40 };
    /// Back-off after a failed call, doubled up to `maxBackOff`. The back-off keeps the fleet from flooding a store
    /// that is down. Its maximum is low because entries must notice within half a second that the store is reachable
    /// again.
    static constexpr milliseconds initialBackOff { 100 };
    static constexpr milliseconds maxBackOff { 400 };

    StoreFollower(boost::asio::io_context& ioContext, const Store& store, Topic topic, OnEvent onEvent);

    /// Makes the first call at `notBefore`, unless the follower is made inactive before that.
    void start(TimePoint notBefore);
    /// Makes no calls while inactive. Lists the topic again once it is active.
    void setActive(bool isActive);
    void stop();

private:
    boost::asio::awaitable<void> follow(TimePoint notBefore);
    boost::asio::awaitable<void> poll();
    /// Returns true when `action`, the cursor's decision, is to apply the items that the store returned, and false when
    /// they must be ignored. Throws `Stale` when the items are from before a restore of the store.
    bool shouldApply(StoreCursor::Action action, StoreEra previousEra);
    boost::asio::awaitable<void> backOff();
    boost::asio::awaitable<void> sleepUntil(TimePoint time);

    boost::asio::io_context& m_ioContext;
    const Store& m_store;
    Topic m_topic;
    OnEvent m_onEvent;
    boost::asio::steady_timer m_timer;
    StoreCursor m_cursor;
    milliseconds m_backOff { initialBackOff };
    bool m_isFailing { false };
    bool m_isActive { true };
    bool m_isStopped { false };
};

} // namespace swiftloft::gateway
