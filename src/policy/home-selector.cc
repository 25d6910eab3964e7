#include <swiftloft/policy/home-selector.h>

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace swiftloft::policy {

namespace {

constexpr std::size_t slotCount = 4096;

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::size_t slotOf(const ClientKey& key)
{
    return hashOf(key.key.value(), hashOf(key.organisation.value(), 0)) % slotCount;
}

} // namespace

HomeSelector::HomeSelector(HomeSelectorOptions options)
    : m_options(options)
{
}

Result<HomeSelector> HomeSelector::create(HomeSelectorOptions options)
{
    if (!options.homesPerKey || options.window.count() < 0)
        return Error { ErrorCode::InvalidArgument, "home selector: homes per key must be at least 1, the window must not be negative" };
    return HomeSelector(options);
}

void HomeSelector::onAgentList(ListRevision revision, std::vector<BackendServerId> agents, TimePoint now)
{
    if (!m_views.empty() && revision <= m_views.front().revision)
        return;
    if (!m_views.empty())
        m_views.front().replacedAt = now;
    m_views.push_front({ revision, std::move(agents), TimePoint::max(), {} });
    m_views.front().homes.resize(slotCount);
}

ListRevision HomeSelector::revision() const
{
    return m_views.empty() ? ListRevision(0) : m_views.front().revision;
}

std::vector<BackendServerId> HomeSelector::homesOf(const ClientKey& key, TimePoint now)
{
    while (m_views.size() > 1 && m_views.back().replacedAt + m_options.window < now)
        m_views.pop_back();
    std::vector<BackendServerId> homes;
    for (auto& view : m_views) {
        for (auto i : homesInView(view, slotOf(key))) {
            if (std::find(homes.begin(), homes.end(), view.agents[i]) == homes.end())
                homes.push_back(view.agents[i]);
        }
    }
    return homes;
}

const std::vector<std::uint32_t>& HomeSelector::homesInView(View& view, std::size_t slot) const
{
    auto& homes = view.homes[slot];
    if (!homes.empty() || view.agents.empty())
        return homes;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> scores(view.agents.size());
    for (std::uint32_t i = 0; i < view.agents.size(); ++i)
        scores[i] = { hashOf(view.agents[i].value(), slot + 1), i };
    auto n = std::min(m_options.homesPerKey, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(n), scores.end(), std::greater<> {});
    for (std::size_t i = 0; i < n; ++i)
        homes.push_back(scores[i].second);
    return homes;
}

} // namespace swiftloft::policy
