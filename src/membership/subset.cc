#include <swiftloft/membership/rendezvous.h>
#include <swiftloft/membership/subset.h>

#include <algorithm>
#include <map>

namespace swiftloft::membership {

namespace {

struct RankedAgent {
    const ListedInstance* listed { nullptr };
    bool isNear { false };
    std::uint64_t score { 0 };
};

bool isBetter(const RankedAgent& a, const RankedAgent& b)
{
    if (a.isNear != b.isNear)
        return a.isNear;
    return a.score > b.score;
}

} // namespace

std::vector<NodeId> agentsFor(const View& view, const ListedInstance& entry, const SubsetOptions& options)
{
    auto subject = keyOf(entry.id).value();
    std::map<ServiceName, std::vector<RankedAgent>> byService;
    for (auto& member : view.members) {
        if (member.listed->role != Role::Agent || !member.isUsable())
            continue;
        auto isNear = view.topology.isSameRegion(member.listed->dataCentre, entry.dataCentre);
        auto score = rendezvousScore(keyOf(member.listed->id), subject);
        byService[member.listed->service].push_back(RankedAgent { member.listed.get(), isNear, score });
    }
    std::vector<NodeId> chosen;
    for (auto& [service, ranked] : byService) {
        auto n = std::min(options.agentsPerService, ranked.size());
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n), ranked.end(), isBetter);
        for (std::size_t i = 0; i < n; ++i)
            chosen.push_back(ranked[i].listed->id);
    }
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

} // namespace swiftloft::membership
