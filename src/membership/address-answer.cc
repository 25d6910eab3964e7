#include <swiftloft/membership/address-answer.h>

#include "src/membership/random.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace swiftloft::membership {

namespace {

/// Spreads the expiry of answers, so that clients that asked at the same time do not all ask again at the same time.
constexpr double lifetimeJitter = 0.2;
/// Time for a leaving mark to reach every other entry. The same target applies to settings.
constexpr milliseconds propagationTime { 4000 };
constexpr double minWeight = 0.05;

enum class Distance : std::uint8_t {
    SameDataCentre,
    SameRegion,
    Remote,
};

struct Candidate {
    const ListedInstance* listed { nullptr };
    bool isSuspect { false };
    Distance distance { Distance::Remote };
    double sortKey { 0 }; ///< Random, weighted by free capacity. Lower keys go first.
};

std::set<DataCentreName> preferredDataCentres(const View& view, const std::optional<DataCentreName>& client, const ServiceName& service)
{
    if (client)
        return { *client };
    std::set<DataCentreName> preferred;
    for (auto& member : view.members) {
        if (member.listed->role == Role::Agent && member.listed->service == service && member.isUsable())
            preferred.insert(member.listed->dataCentre);
    }
    return preferred;
}

Distance distanceOf(const DataCentreName& dataCentre, const std::set<DataCentreName>& preferred, const Topology& topology)
{
    if (preferred.contains(dataCentre))
        return Distance::SameDataCentre;
    auto isSameRegion = [&](const DataCentreName& it) { return topology.isSameRegion(it, dataCentre); };
    return std::any_of(preferred.begin(), preferred.end(), isSameRegion) ? Distance::SameRegion : Distance::Remote;
}

/// Returns a random sort key. Sorting by it samples without replacement with probability proportional to `weight`
/// (Efraimidis and Spirakis).
double weightedSortKey(double weight, Random& random)
{
    return -std::log(1.0 - random.unit()) / weight;
}

bool isPreferred(const Candidate& a, const Candidate& b)
{
    if (a.isSuspect != b.isSuspect)
        return !a.isSuspect;
    if (a.distance != b.distance)
        return a.distance < b.distance;
    return a.sortKey < b.sortKey;
}

std::vector<Candidate> rankCandidates(const View& view, const std::set<DataCentreName>& preferred, Random& random, const AddressAnswerOptions& options)
{
    std::vector<Candidate> candidates;
    for (auto& member : view.members) {
        if (member.listed->role != Role::Entry || !member.isUsable())
            continue;
        auto load = options.load ? std::clamp(options.load(member.listed->id), 0.0, 1.0) : 0.0;
        Candidate candidate;
        candidate.listed = member.listed.get();
        candidate.isSuspect = member.health != Health::Alive;
        candidate.distance = distanceOf(member.listed->dataCentre, preferred, view.topology);
        candidate.sortKey = weightedSortKey(std::max(1.0 - load, minWeight), random);
        candidates.push_back(candidate);
    }
    std::sort(candidates.begin(), candidates.end(), isPreferred);
    return candidates;
}

/// If the first `n` candidates are all in one data centre, replaces the last of them by the best candidate of another
/// data centre, unless that candidate is suspect.
void diversifyDataCentres(std::vector<Candidate>& candidates, std::size_t n)
{
    if (n < 2 || candidates.size() <= n)
        return;
    auto isElsewhere = [&](const Candidate& it) { return it.listed->dataCentre != candidates[0].listed->dataCentre; };
    auto answerEnd = candidates.begin() + static_cast<std::ptrdiff_t>(n);
    if (std::any_of(candidates.begin(), answerEnd, isElsewhere))
        return;
    auto other = std::find_if(answerEnd, candidates.end(), isElsewhere);
    if (other != candidates.end() && !other->isSuspect)
        std::swap(*other, candidates[n - 1]);
}

} // namespace

AddressAnswer makeAddressAnswer(const View& view, const std::optional<DataCentreName>& client, const ServiceName& service,
    std::uint64_t seed, TimePoint now, const AddressAnswerOptions& options)
{
    Random random(seed);
    auto candidates = rankCandidates(view, preferredDataCentres(view, client, service), random, options);
    auto n = std::min(options.maxAddresses, candidates.size());
    diversifyDataCentres(candidates, n);
    AddressAnswer answer;
    for (std::size_t i = 0; i < n; ++i)
        answer.addresses.push_back(candidates[i].listed->address);
    auto factor = 1.0 + lifetimeJitter * (2.0 * random.unit() - 1.0);
    answer.expiresAt = now + std::chrono::duration_cast<Clock::duration>(options.meanLifetime * factor);
    return answer;
}

TimePoint acceptUntil(TimePoint leftAt, const AddressAnswerOptions& options)
{
    return leftAt + propagationTime + std::chrono::duration_cast<Clock::duration>(options.meanLifetime * (1.0 + lifetimeJitter));
}

} // namespace swiftloft::membership
