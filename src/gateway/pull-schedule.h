#pragma once

#include "src/gateway/protocol.h"

#include <swiftloft/units.h>

#include <map>

namespace swiftloft::gateway {

/// Decides when an entry fetches a newer document from another entry. Pure: the time comes with each call.
class PullSchedule {
public:
    /// A pull that has neither received a response nor failed is repeated after this long.
    static constexpr milliseconds pullTimeout { 1000 };
    /// Delay before a document announced by a remote data centre is fetched from there. Usually a local entry offers
    /// the same document by then, and traffic between data centres is expensive.
    static constexpr milliseconds localFirstDelay { 600 };

    /// Call it when an entry has announced a newer document. Returns true if the document must be fetched from that
    /// entry now. In this case the pull is recorded as started.
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
    /// Time since which only remote data centres are known to hold a newer document.
    std::map<Topic, TimePoint> m_remoteNewerSince;
};

} // namespace swiftloft::gateway
