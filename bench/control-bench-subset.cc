#include "bench/control-bench.h"

#include <swiftloft/membership/rendezvous.h>
#include <swiftloft/membership/subset.h>

#include "src/membership/random.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace swiftloft::bench {

namespace {

using membership::NodeId;
using membership::Role;
using membership::View;
using membership::ViewMember;

constexpr std::size_t services = 11;
constexpr std::size_t perService = 16;
constexpr std::size_t entryShare = 9;

using Choice = std::function<std::vector<NodeId>(const View&, const membership::ListedInstance&)>;

/// One region's members; services of equal size.
View makeView(std::size_t nodes)
{
    View view;
    for (std::size_t i = 0; i < nodes; ++i) {
        membership::ListedInstance row;
        row.role = i % entryShare == 0 ? Role::Entry : Role::Agent;
        row.id = NodeId(fmt::format("{}-{:05}", toString(row.role), i));
        row.dataCentre = DataCentreName(fmt::format("dc{}", i % 3));
        if (row.role == Role::Agent)
            row.service = ServiceName(fmt::format("service{}", i % services));
        ViewMember member;
        member.listed = std::make_shared<const membership::ListedInstance>(row);
        view.members.push_back(member);
    }
    std::sort(view.members.begin(), view.members.end(), [](auto& a, auto& b) { return a.listed->id < b.listed->id; });
    return view;
}

/// Deterministic subsetting as in "Site Reliability Engineering" (2016), ch. 20: entries in rounds share one shuffle of
/// the agents and take consecutive runs of it.
std::vector<NodeId> deterministicSubset(const View& view, const membership::ListedInstance& entry)
{
    std::map<ServiceName, std::vector<NodeId>> agents;
    std::size_t position = 0;
    std::size_t own = 0;
    for (auto& member : view.members) {
        if (member.listed->role == Role::Agent) {
            agents[member.listed->service].push_back(member.listed->id);
            continue;
        }
        if (member.listed->id == entry.id)
            own = position;
        ++position;
    }
    std::vector<NodeId> chosen;
    for (auto& [service, ids] : agents) {
        auto size = std::min(perService, ids.size());
        auto runs = ids.size() / size;
        membership::Random random(own / runs + 1);
        random.shuffle(ids);
        auto start = (own % runs) * size;
        chosen.insert(chosen.end(), ids.begin() + static_cast<std::ptrdiff_t>(start), ids.begin() + static_cast<std::ptrdiff_t>(start + size));
    }
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

std::map<NodeId, std::vector<NodeId>> choices(const View& view, const Choice& choose)
{
    std::map<NodeId, std::vector<NodeId>> byEntry;
    for (auto& member : view.members) {
        if (member.listed->role == Role::Entry)
            byEntry[member.listed->id] = choose(view, *member.listed);
    }
    return byEntry;
}

/// Connections that entries of both times close and open anew, as a share of all.
double churn(const std::map<NodeId, std::vector<NodeId>>& before, const std::map<NodeId, std::vector<NodeId>>& after)
{
    std::size_t moved = 0;
    std::size_t all = 0;
    for (auto& [entry, agents] : before) {
        auto it = after.find(entry);
        if (it == after.end())
            continue;
        std::vector<NodeId> gone;
        std::set_difference(agents.begin(), agents.end(), it->second.begin(), it->second.end(), std::back_inserter(gone));
        moved += gone.size();
        all += agents.size();
    }
    return static_cast<double>(moved) / static_cast<double>(all);
}

View without(View view, Role role)
{
    auto isIt = [role](const ViewMember& it) { return it.listed->role == role; };
    auto n = std::count_if(view.members.begin(), view.members.end(), isIt);
    auto skip = n / 3;
    auto it = std::find_if(view.members.begin(), view.members.end(), [&](const ViewMember& member) { return isIt(member) && skip-- == 0; });
    view.members.erase(it);
    return view;
}

void print(const char* name, const View& view, const Choice& choose)
{
    auto byEntry = choices(view, choose);
    std::map<NodeId, std::size_t> degree;
    std::size_t all = 0;
    for (auto& [entry, agents] : byEntry) {
        for (auto& it : agents)
            ++degree[it];
        all += agents.size();
    }
    std::size_t agentCount = view.members.size() - byEntry.size();
    std::size_t most = 0;
    for (auto& [agent, n] : degree)
        most = std::max(most, n);
    fmt::print("mode=subset way={} entries={} agents={} agents_an_entry={:.1f} entries_an_agent_mean={:.1f} entries_an_agent_most={} agents_without_entry={} churn_entry_gone={:.4f} churn_agent_gone={:.4f}\n",
        name, byEntry.size(), agentCount, static_cast<double>(all) / static_cast<double>(byEntry.size()), static_cast<double>(all) / static_cast<double>(agentCount), most,
        agentCount - degree.size(), churn(byEntry, choices(without(view, Role::Entry), choose)), churn(byEntry, choices(without(view, Role::Agent), choose)));
}

} // namespace

void benchSubset(const ControlBenchOptions& options)
{
    auto view = makeView(options.nodes);
    print("rendezvous", view, [](const View& it, const membership::ListedInstance& entry) { return membership::agentsFor(it, entry, { perService }); });
    print("deterministic", view, deterministicSubset);
}

} // namespace swiftloft::bench
