#pragma once

#include <swiftloft/membership/message.h>

#include <cstddef>
#include <vector>

namespace swiftloft::membership {

/// Queue of updates that are piggybacked on outgoing datagrams.
///
/// Each update is sent a number of times that grows with the logarithm of the fleet size, which is enough to reach all
/// members with near certainty. The updates sent least often go first, so that a burst of old updates does not delay
/// new ones.
class UpdateQueue {
public:
    void setFleetSize(std::size_t members);
    /// Queues an update. Replaces a queued update for the same member.
    void push(const MemberUpdate& update);
    /// Returns up to `maxCount` updates and counts one transmission of each.
    std::vector<MemberUpdate> take(std::size_t maxCount);
    /// Drops updates that report a member as suspect or dead, except those that also carry a leaving mark.
    void dropHealthUpdates();
    /// Returns true if any update has been sent less than half as often as it has to be.
    bool hasFreshUpdates() const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        MemberUpdate update;
        unsigned transmissions { 0 };
    };

    std::vector<Entry> m_entries;
    unsigned m_transmissionLimit { 6 };
};

} // namespace swiftloft::membership
