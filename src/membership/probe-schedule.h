#pragma once

#include "src/membership/member-table.h"

#include <optional>
#include <vector>

namespace swiftloft::membership {

/// Which member to probe next.
///
/// Most probes stay in this data centre; one in four goes to the rest of the region and one in eight beyond it. Each
/// distance is walked in shuffled rounds, so that a member waits a bounded time for its probe. Dead members are passed
/// over most of the time: they must be tried now and then to notice a healed partition.
class ProbeSchedule {
public:
    std::optional<NodeKey> next(const MemberTable& table, Random& random);
    /// Begins new rounds; to be called when the list has changed.
    void reset();

private:
    struct Round {
        std::vector<NodeKey> order;
        std::size_t position { 0 };
    };

    std::optional<NodeKey> nextAt(Locality locality, const MemberTable& table, Random& random);

    Round m_rounds[3];
    unsigned m_count { 0 };
};

} // namespace swiftloft::membership
