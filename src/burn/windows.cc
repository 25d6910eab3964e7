#include "src/burn/windows.h"

#include <fmt/format.h>

#include <algorithm>

namespace swiftloft::burn {

namespace {

constexpr std::uint32_t goodReason = 0;
constexpr std::uint32_t otherReason = 1;

void addReason(std::vector<ReasonCount>& reasons, const std::string& reason, std::uint64_t count)
{
    auto it = std::find_if(reasons.begin(), reasons.end(), [&](auto& known) { return known.reason == reason; });
    if (it == reasons.end())
        reasons.push_back({ reason, count });
    else
        it->count += count;
}

} // namespace

BurnWindows::BurnWindows(TimePoint now, std::size_t maxRows)
    : m_start(now)
    , m_maxRows(maxRows)
{
    for (std::size_t it = 0; it < m_rings.size(); ++it)
        m_rings[it].length = windowLengths[it];
}

std::uint32_t BurnWindows::rowOf(const std::string& service, std::string_view organisation)
{
    auto name = fmt::format("{}\n{}", service, organisation);
    auto it = m_rowByName.find(name);
    if (it != m_rowByName.end())
        return it->second;
    if (m_rowNames.size() >= m_maxRows && organisation != otherOrganisation)
        return rowOf(service, otherOrganisation);
    auto row = static_cast<std::uint32_t>(m_rowNames.size());
    auto serviceRow = m_serviceRows.emplace(service, row).first->second;
    m_rowNames.push_back({ service, std::string(organisation), serviceRow });
    m_rowByName.emplace(std::move(name), row);
    return row;
}

std::uint32_t BurnWindows::reasonOf(std::string_view reason)
{
    auto first = m_reasons.begin() + otherReason;
    auto it = std::find(first, m_reasons.end(), reason);
    if (it != m_reasons.end())
        return static_cast<std::uint32_t>(it - m_reasons.begin());
    if (reason.empty() || m_reasons.size() >= maxReasons)
        return otherReason;
    m_reasons.emplace_back(reason);
    return static_cast<std::uint32_t>(m_reasons.size() - 1);
}

void BurnWindows::add(TimePoint now, const ServiceName& service, const OrganisationName& organisation, Outcome outcome, std::string_view reason)
{
    CellId cell { rowOf(service.value(), organisation.value()), outcome == Outcome::Good ? goodReason : reasonOf(reason) };
    for (auto& ring : m_rings) {
        auto number = ring.bucketNumber(now - m_start);
        auto& bucket = ring.buckets[static_cast<std::size_t>(number % bucketsPerWindow)];
        if (bucket.number != number) {
            bucket.cells.clear();
            bucket.number = number;
        }
        ++bucket.cells[cell];
    }
}

std::vector<Row> BurnWindows::rowsOf(const Cells& cells, const Scope& scope) const
{
    std::vector<Row> rows(m_rowNames.size());
    for (auto& [cell, count] : cells) {
        auto& name = m_rowNames[cell.row];
        if (scope.service && scope.service->value() != name.service)
            continue;
        auto& row = rows[scope.hasOrganisations ? cell.row : name.serviceRow];
        if (cell.reason == goodReason) {
            row.good += count;
            continue;
        }
        row.bad += count;
        addReason(row.reasons, m_reasons[cell.reason], count);
    }
    return named(std::move(rows), scope);
}

std::vector<Row> BurnWindows::named(std::vector<Row> rows, const Scope& scope) const
{
    std::vector<Row> seen;
    for (std::size_t it = 0; it < rows.size(); ++it) {
        auto& row = rows[it];
        if (row.good + row.bad == 0)
            continue;
        row.service = ServiceName(m_rowNames[it].service);
        if (scope.hasOrganisations)
            row.organisation = OrganisationName(m_rowNames[it].organisation);
        std::sort(row.reasons.begin(), row.reasons.end(), [](auto& a, auto& b) { return a.count != b.count ? a.count > b.count : a.reason < b.reason; });
        seen.push_back(std::move(row));
    }
    return seen;
}

Window BurnWindows::windowOf(const Ring& ring, Clock::duration age, const Scope& scope) const
{
    auto current = ring.bucketNumber(age);
    auto oldest = std::max<std::int64_t>(0, current - bucketsPerWindow + 1);
    Cells sum;
    for (auto& bucket : ring.buckets) {
        // A bucket that no request has reached since its time passed still holds old sums.
        if (bucket.number < oldest || bucket.number > current)
            continue;
        for (auto& [cell, count] : bucket.cells)
            sum[cell] += count;
    }
    auto covered = age - oldest * (ring.length / bucketsPerWindow);
    return { ring.length, std::chrono::duration<double>(covered).count(), rowsOf(sum, scope) };
}

Report BurnWindows::report(TimePoint now, const InstanceId& instance, std::string since, const Scope& scope) const
{
    Report report { instance, std::move(since), {} };
    for (auto& ring : m_rings)
        report.windows.push_back(windowOf(ring, now - m_start, scope));
    return report;
}

} // namespace swiftloft::burn
