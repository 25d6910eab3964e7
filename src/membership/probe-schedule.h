#pragma once

#include "src/membership/member-table.h"

#include <map>
#include <optional>
#include <vector>

namespace swiftloft::membership {

/// Which member to probe next.
///
/// Half of the probes stay in this data centre; a quarter goes to the rest of the region and a quarter beyond it. Near
/// members are walked in shuffled rounds, so that each waits a bounded time for its probe. Dead ones are passed over
/// most of the time: they must be tried now and then to notice a healed partition. Of other regions only the data
/// centres are followed: they take turns, and one that has begun to miss probes goes first until it is clear.
class ProbeSchedule {
public:
    std::optional<NodeKey> next(const MemberTable& table, const std::optional<DataCentreName>& suspectDataCentre, Random& random);
    /// Begins new rounds; to be called when the list has changed.
    void reset();

private:
    struct Round {
        std::vector<NodeKey> order;
        std::size_t position { 0 };
    };

    std::optional<NodeKey> nextNear(Locality locality, const MemberTable& table, Random& random);
    std::optional<NodeKey> nextRemote(const MemberTable& table, const std::optional<DataCentreName>& suspectDataCentre, Random& random);

    Round m_rounds[2]; ///< Same data centre and same region.
    std::map<DataCentreName, std::vector<NodeKey>> m_remoteMembers;
    std::optional<DataCentreName> m_lastRemoteDataCentre;
    unsigned m_probeCount { 0 };
};

} // namespace swiftloft::membership
