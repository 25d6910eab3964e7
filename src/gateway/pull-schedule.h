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
    static constexpr milliseconds nearFirstFor { 600 };

    /// An entry has said that it holds a newer document. True when it is to be fetched from there now; that counts as begun.
    bool begin(TimePoint now, Topic topic, bool mayWaitForNear)
    {
        if (mayWaitForNear && now < m_behindSince.try_emplace(topic, now).first->second + nearFirstFor)
            return false;
        auto& givenUpAt = m_givenUpAt[topic];
        if (now < givenUpAt)
            return false;
        givenUpAt = now + pullTimeout;
        return true;
    }
    void onAnswered(Topic topic)
    {
        m_givenUpAt.erase(topic);
        m_behindSince.erase(topic);
    }
    void onFailed(Topic topic) { m_givenUpAt.erase(topic); }

private:
    std::map<Topic, TimePoint> m_givenUpAt;
    /// Since when only other data centres are known to have something newer.
    std::map<Topic, TimePoint> m_behindSince;
};

} // namespace swiftloft::gateway
