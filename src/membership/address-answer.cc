#include <swiftloft/membership/address-answer.h>

#include "src/membership/random.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace swiftloft::membership {

namespace {

/// Answers end at different times, so that clients who asked together don't all come back together.
constexpr double keepJitter = 0.2;
/// For the word of a leaving entry to reach every other entry; the goal for settings is the same.
constexpr milliseconds spreadTime { 4000 };
constexpr double smallestWeight = 0.05;

enum class Distance : std::uint8_t {
    SameDataCentre,
    SameRegion,
    Remote,
};

struct Candidate {
    const ListedInstance* listed { nullptr };
    bool isSuspect { false };
    Distance distance { Distance::Remote };
    double rank { 0 }; ///< Random, weighted by free capacity; lower goes first.
};

std::set<DataCentreName> nearDataCentres(const View& view, const std::optional<DataCentreName>& client, const ServiceName& service)
{
    if (client)
        return { *client };
    std::set<DataCentreName> near;
    for (auto& member : view.members) {
        if (member.listed->role == Role::Agent && member.listed->service == service && member.isUsable())
            near.insert(member.listed->dataCentre);
    }
    return near;
}

Distance distanceOf(const DataCentreName& dataCentre, const std::set<DataCentreName>& near, const Topology& topology)
{
    if (near.contains(dataCentre))
        return Distance::SameDataCentre;
    auto isSameRegion = [&](const DataCentreName& it) { return topology.isSameRegion(it, dataCentre); };
    return std::any_of(near.begin(), near.end(), isSameRegion) ? Distance::SameRegion : Distance::Remote;
}

/// Sorting by this draws without replacement with probability in proportion to `weight` (Efraimidis and Spirakis).
double weightedRank(double weight, Random& random)
{
    return -std::log(1.0 - random.unit()) / weight;
}

bool goesBefore(const Candidate& a, const Candidate& b)
{
    if (a.isSuspect != b.isSuspect)
        return !a.isSuspect;
    if (a.distance != b.distance)
        return a.distance < b.distance;
    return a.rank < b.rank;
}

std::vector<Candidate> candidates(const View& view, const std::set<DataCentreName>& near, Random& random, const AddressAnswerOptions& options)
{
    std::vector<Candidate> found;
    for (auto& member : view.members) {
        if (member.listed->role != Role::Entry || !member.isUsable())
            continue;
        auto load = options.load ? std::clamp(options.load(member.listed->id), 0.0, 1.0) : 0.0;
        Candidate candidate;
        candidate.listed = member.listed.get();
        candidate.isSuspect = member.health != Health::Alive;
        candidate.distance = distanceOf(member.listed->dataCentre, near, view.topology);
        candidate.rank = weightedRank(std::max(1.0 - load, smallestWeight), random);
        found.push_back(candidate);
    }
    std::sort(found.begin(), found.end(), goesBefore);
    return found;
}

/// Moves the best candidate of another data centre to the last place of the answer when all of it is in one.
void mixDataCentres(std::vector<Candidate>& found, std::size_t n)
{
    if (n < 2 || found.size() <= n)
        return;
    auto isElsewhere = [&](const Candidate& it) { return it.listed->dataCentre != found[0].listed->dataCentre; };
    auto answerEnd = found.begin() + static_cast<std::ptrdiff_t>(n);
    if (std::any_of(found.begin(), answerEnd, isElsewhere))
        return;
    auto other = std::find_if(answerEnd, found.end(), isElsewhere);
    if (other != found.end() && !other->isSuspect)
        std::swap(*other, found[n - 1]);
}

} // namespace

AddressAnswer answerAddresses(const View& view, const std::optional<DataCentreName>& client, const ServiceName& service,
    std::uint64_t seed, TimePoint now, const AddressAnswerOptions& options)
{
    Random random(seed);
    auto found = candidates(view, nearDataCentres(view, client, service), random, options);
    auto n = std::min(options.addresses, found.size());
    mixDataCentres(found, n);
    AddressAnswer answer;
    for (std::size_t i = 0; i < n; ++i)
        answer.addresses.push_back(found[i].listed->address);
    auto factor = 1.0 + keepJitter * (2.0 * random.unit() - 1.0);
    answer.keepUntil = now + std::chrono::duration_cast<Clock::duration>(options.keepFor * factor);
    return answer;
}

TimePoint acceptUntil(TimePoint leftAt, const AddressAnswerOptions& options)
{
    return leftAt + spreadTime + std::chrono::duration_cast<Clock::duration>(options.keepFor * (1.0 + keepJitter));
}

} // namespace swiftloft::membership
