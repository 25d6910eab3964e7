#pragma once

#include "src/gateway/control-state.h"
#include "src/gateway/store-cursor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace swiftloft::gateway {

/// Follows one topic of the platform's store: lists it, then watches for changes, and lists again when the store no
/// longer knows what changed. Belongs to the control thread.
class StoreFollower {
public:
    using OnEvent = std::function<void(const control::Event&)>;

    /// How long one watch waits. Connections can go silent for good, which shows only when a watch outlasts this; a
    /// configuration must be in force within two seconds of its publication.
    static constexpr milliseconds watchTimeout { 1500 };
    /// What a call may take beyond that. A healthy store answers in 4 ms, a slow one was seen to take 250 ms.
    static constexpr milliseconds answerTimeout { 900 };
    /// Changes come in flocks, as when a group of servers starts; those within this time are fetched together. Calls are
    /// dear, and a change has seconds to be in force.
    static constexpr milliseconds batchDelay { 40 };
    /// Pause after a failed call, doubled up to the second figure: a store that is down is not to be flooded by the
    /// whole fleet, and one that returns is to be noticed within half a second.
    static constexpr milliseconds initialBackOff { 100 };
    static constexpr milliseconds maxBackOff { 400 };

    StoreFollower(boost::asio::io_context& ioContext, const Store& store, Topic topic, OnEvent onEvent);

    /// Makes the first call at `notBefore`, unless it is made inactive until then.
    void start(TimePoint notBefore);
    /// While off, no call is made; on again, the topic is listed anew.
    void setActive(bool isActive);
    void stop();

private:
    boost::asio::awaitable<void> follow(TimePoint notBefore);
    boost::asio::awaitable<void> poll();
    /// False when `answer` means that the items are to be left out.
    bool shouldApply(StoreCursor::Action answer, StoreEra previousEra);
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
