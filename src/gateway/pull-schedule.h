#pragma once

#include "src/gateway/protocol.h"

#include <swiftloft/units.h>

#include <map>

namespace swiftloft::gateway {

/// When an entry fetches a newer document from another entry. Pure: the time comes with each call.
class PullSchedule {
public:
    /// A pull that was neither answered nor failed is repeated after this long.
    static constexpr milliseconds pullTimeout { 1000 };
    /// News of another data centre is fetched from there only after this long: mostly the same comes from the own one, and
    /// the bytes between data centres are dear.
    static constexpr milliseconds localFirstDelay { 600 };

    /// An entry has said that it holds a newer document. True when it is to be fetched from there now; that counts as begun.
    bool tryBegin(TimePoint now, Topic topic, bool mayWaitForLocal)
    {
        if (mayWaitForLocal && now < m_remoteNewerSince.try_emplace(topic, now).first->second + localFirstDelay)
            return false;
        auto& timeoutAt = m_timeoutAt[topic];
        if (now < timeoutAt)
            return false;
        timeoutAt = now + pullTimeout;
        return true;
    }
    void onAnswered(Topic topic)
    {
        m_timeoutAt.erase(topic);
        m_remoteNewerSince.erase(topic);
    }
    void onFailed(Topic topic) { m_timeoutAt.erase(topic); }

private:
    std::map<Topic, TimePoint> m_timeoutAt;
    /// Since when only other data centres are known to have something newer.
    std::map<Topic, TimePoint> m_remoteNewerSince;
};

} // namespace swiftloft::gateway
