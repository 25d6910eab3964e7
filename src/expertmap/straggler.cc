#include <swiftloft/expertmap/straggler.h>

#include <algorithm>
#include <cmath>

namespace swiftloft::expertmap {

namespace {

bool isInvalid(double value)
{
    return !std::isfinite(value) || value < 0;
}

double medianOf(std::vector<double> values)
{
    auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

Result<StragglerDetector> StragglerDetector::create(std::uint32_t ranks, const Options& options)
{
    bool isWeight = options.speedWeight > 0 && options.speedWeight <= 1;
    if (ranks == 0 || !(options.factor > 1) || options.persistence == 0 || !isWeight)
        return Error { ErrorCode::InvalidArgument, "a straggler detector needs at least one rank, a factor above 1, a persistence of at least 1 and a weight within (0, 1]" };
    return StragglerDetector(ranks, options);
}

StragglerDetector::StragglerDetector(std::uint32_t ranks, const Options& options)
    : m_options(options)
    , m_ranks(ranks)
{
}

std::optional<Error> StragglerDetector::observe(std::span<const double> busyTimes, std::span<const double> tokens)
{
    if (busyTimes.size() != m_ranks.size() || tokens.size() != m_ranks.size())
        return Error { ErrorCode::InvalidArgument, "the number of busy times and of token counts must equal the number of ranks" };
    if (std::any_of(busyTimes.begin(), busyTimes.end(), isInvalid) || std::any_of(tokens.begin(), tokens.end(), isInvalid))
        return Error { ErrorCode::InvalidArgument, "a busy time or token count is negative or not finite" };
    std::vector<double> perToken;
    for (std::size_t r = 0; r < m_ranks.size(); ++r) {
        if (tokens[r] > 0)
            perToken.push_back(busyTimes[r] / tokens[r]);
    }
    if (perToken.empty())
        return std::nullopt;
    double median = medianOf(std::move(perToken));
    if (median <= 0)
        return std::nullopt;
    for (std::size_t r = 0; r < m_ranks.size(); ++r) {
        if (tokens[r] > 0)
            update(m_ranks[r], busyTimes[r] / tokens[r] / median);
    }
    return std::nullopt;
}

void StragglerDetector::update(Rank& rank, double timeOverMedian)
{
    rank.speed += m_options.speedWeight * (1 / std::max(timeOverMedian, 1e-3) - rank.speed);
    bool isSlow = timeOverMedian > m_options.factor;
    rank.streak = isSlow == rank.isStraggler ? 0 : rank.streak + 1;
    if (rank.streak < m_options.persistence)
        return;
    rank.isStraggler = isSlow;
    rank.streak = 0;
}

std::vector<RankIndex> StragglerDetector::stragglers() const
{
    std::vector<RankIndex> found;
    for (std::uint32_t r = 0; r < m_ranks.size(); ++r) {
        if (m_ranks[r].isStraggler)
            found.push_back(RankIndex(r));
    }
    return found;
}

std::vector<double> StragglerDetector::speeds() const
{
    std::vector<double> speeds;
    speeds.reserve(m_ranks.size());
    for (auto& rank : m_ranks)
        speeds.push_back(rank.isStraggler ? rank.speed : 1.0);
    return speeds;
}

} // namespace swiftloft::expertmap
