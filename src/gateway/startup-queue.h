#pragma once

#include "src/gateway/admission/startup-wait.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace swiftloft::gateway {

/// The requests that wait until an entry that has just started can serve them. Belongs to the traffic thread.
class StartupQueue {
public:
    /// Off: requests are refused while the entry can't serve.
    explicit StartupQueue(bool isOn)
        : m_isOn(isOn)
        , m_startedAt(Clock::now())
    {
    }

    /// Returns when the entry may be able to serve or the request must not wait any longer, at once if it must not wait
    /// at all.
    boost::asio::awaitable<void> wait(TimePoint deadline);
    /// Lets the waiting requests continue.
    void onReady();
    /// Lets them continue and makes no further request wait.
    void close();

private:
    bool m_isOn;
    TimePoint m_startedAt;
    std::set<boost::asio::steady_timer*> m_waiting;
};

} // namespace swiftloft::gateway
