#include "src/membership/update-queue.h"

#include <algorithm>
#include <bit>

namespace swiftloft::membership {

namespace {

constexpr unsigned transmissionFactor = 3;
/// Bounds memory and time if a whole data centre is lost. The update that has been sent most often is evicted first.
constexpr std::size_t maxEntries = 2048;

} // namespace

void UpdateQueue::setFleetSize(std::size_t members)
{
    m_transmissionLimit = transmissionFactor * static_cast<unsigned>(std::bit_width(members + 1));
}

void UpdateQueue::push(const MemberUpdate& update)
{
    auto isSame = [&](const Entry& entry) { return entry.update.member == update.member; };
    std::erase_if(m_entries, isSame);
    if (m_entries.size() >= maxEntries) {
        auto byTransmissions = [](const Entry& a, const Entry& b) { return a.transmissions < b.transmissions; };
        m_entries.erase(std::max_element(m_entries.begin(), m_entries.end(), byTransmissions));
    }
    m_entries.push_back(Entry { update });
}

std::vector<MemberUpdate> UpdateQueue::take(std::size_t maxCount)
{
    auto n = std::min(maxCount, m_entries.size());
    auto byTransmissions = [](const Entry& a, const Entry& b) { return a.transmissions < b.transmissions; };
    std::partial_sort(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(n), m_entries.end(), byTransmissions);
    std::vector<MemberUpdate> taken;
    taken.reserve(n);
    for (std::size_t i = 0; i < n; ++i) {
        taken.push_back(m_entries[i].update);
        ++m_entries[i].transmissions;
    }
    std::erase_if(m_entries, [this](const Entry& entry) { return entry.transmissions >= m_transmissionLimit; });
    return taken;
}

bool UpdateQueue::hasFreshUpdates() const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [this](const Entry& entry) { return entry.transmissions < m_transmissionLimit / 2; });
}

void UpdateQueue::dropHealthUpdates()
{
    std::erase_if(m_entries, [](const Entry& entry) { return entry.update.health != Health::Alive && !entry.update.isLeaving; });
}

} // namespace swiftloft::membership
