#pragma once

#include "src/membership/member-table.h"

#include <map>
#include <optional>
#include <vector>

namespace swiftloft::membership {

/// Selects the member to probe next.
///
/// Half of the probes go to this data centre, a quarter to the rest of the region and a quarter to other regions.
/// Members of this region are probed in shuffled rounds, which bounds the time that each waits for its probe. Dead
/// members are skipped most of the time, but must be probed occasionally to detect that a partition has healed. Other
/// regions are tracked by data centre: their data centres are probed in turn, and one that has begun to miss probes
/// goes first until it either responds or is considered unreachable.
class ProbeSchedule {
public:
    /// Returns the next member to probe. `suspectDataCentre` is a data centre of another region that has missed probes.
    std::optional<NodeKey> next(const MemberTable& table, const std::optional<DataCentreName>& suspectDataCentre, Random& random);
    /// Starts new rounds. Must be called when the instance list has changed.
    void reset();

private:
    struct Round {
        std::vector<NodeKey> order;
        std::size_t position { 0 };
    };

    std::optional<NodeKey> nextNear(Locality locality, const MemberTable& table, Random& random);
    std::optional<NodeKey> nextRemote(const MemberTable& table, const std::optional<DataCentreName>& suspectDataCentre, Random& random);

    Round m_rounds[2]; ///< Indexed by `Locality::SameDataCentre` and `Locality::SameRegion`.
    std::map<DataCentreName, std::vector<NodeKey>> m_remoteMembers;
    std::optional<DataCentreName> m_lastRemoteDataCentre;
    unsigned m_probeCount { 0 };
};

} // namespace swiftloft::membership
