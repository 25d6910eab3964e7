#include "src/gateway/directory.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace swiftloft::gateway {

namespace {

using Candidates = std::vector<const ServingEntry*>;
using Predicate = std::function<bool(const ServingEntry&)>;

/// Number of entries below which a client is also given entries that are less close.
constexpr std::size_t minEntries = 2;

Candidates matching(const Candidates& candidates, const Predicate& predicate)
{
    Candidates out;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(out), [&](auto* it) { return predicate(*it); });
    return out;
}

/// Returns the candidates that match the first predicate that at least `min` of them match; all if there is no such
/// predicate.
Candidates narrowed(const Candidates& candidates, std::size_t min, const std::vector<Predicate>& predicates)
{
    for (auto& predicate : predicates) {
        auto out = matching(candidates, predicate);
        if (out.size() >= min)
            return out;
    }
    return candidates;
}

std::vector<ServingEntry> acceptingAt(const std::vector<LeavingEntry>& leavers, TimePoint time)
{
    std::vector<ServingEntry> out;
    for (auto& it : leavers) {
        if (it.acceptsUntil > time)
            out.push_back({ it.clients, it.dataCentre });
    }
    return out;
}

} // namespace

std::vector<ServingEntry> servingLeavers(const std::vector<LeavingEntry>& leavers, TimePoint now, milliseconds maxAge)
{
    auto lasting = acceptingAt(leavers, now + maxAge);
    return lasting.empty() ? acceptingAt(leavers, now) : lasting;
}

std::vector<Endpoint> directoryEntries(const std::vector<ServingEntry>& serving, const DirectoryQuery& query, const HostHomes* homes, const DataCentreRegions& regions, const DataCentreName& own)
{
    Candidates candidates;
    candidates.reserve(serving.size());
    for (auto& entry : serving)
        candidates.push_back(&entry);
    auto isIn = [](const DataCentreName& dataCentre) -> Predicate {
        return [dataCentre](const ServingEntry& entry) { return entry.dataCentre == dataCentre; };
    };
    auto isInRegions = [&](std::uint64_t bits) -> Predicate {
        return [&regions, bits](const ServingEntry& entry) { return (regions.bitOf(entry.dataCentre) & bits) != 0; };
    };
    if (homes) {
        auto client = query.region ? regions.bitOf(*query.region) : 0;
        auto shared = client | regions.bitsOf(homes->shared);
        auto all = client | regions.bitsOf(homes->all);
        candidates = narrowed(candidates, 1, { isInRegions(shared), isInRegions(all) });
        candidates = narrowed(candidates, minEntries, { isIn(query.dataCentre.value_or(own)), isInRegions(client) });
    } else
        candidates = narrowed(candidates, minEntries, { isIn(own) });
    candidates.resize(std::min(candidates.size(), maxDirectoryEntries));
    std::vector<Endpoint> out;
    out.reserve(candidates.size());
    for (auto* entry : candidates)
        out.push_back(entry->clients);
    return out;
}

} // namespace swiftloft::gateway
