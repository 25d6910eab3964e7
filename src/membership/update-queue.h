#pragma once

#include <swiftloft/membership/message.h>

#include <cstddef>
#include <vector>

namespace swiftloft::membership {

/// Updates that wait to ride on outgoing datagrams.
///
/// Each rides a number of times that grows with the logarithm of the fleet, which is enough for all to hear it with
/// near certainty. Those that have ridden least go first, so that a burst of old news can't hold back fresh news.
class UpdateQueue {
public:
    void setFleetSize(std::size_t members);
    /// Replaces what is queued about the same member.
    void push(const MemberUpdate& update);
    /// Takes up to `most` updates and counts one transmission of each.
    std::vector<MemberUpdate> take(std::size_t maxCount);
    /// Drops what has been said about the health of members, except of those that are leaving.
    void dropHealthUpdates();
    /// True while some update has ridden less than half its times.
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
