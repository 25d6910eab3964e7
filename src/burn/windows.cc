#include "src/burn/windows.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace swiftloft::burn {

namespace {

constexpr std::uint32_t goodReason = 0;
constexpr std::uint32_t otherReason = 1;
constexpr auto metricName = "swiftloft_requests_total";

std::string escapedLabel(std::string_view text)
{
    std::string escaped;
    for (char c : text) {
        if (c == '\\' || c == '"')
            escaped += '\\';
        escaped += c == '\n' ? ' ' : c;
    }
    return escaped;
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
    m_rowNames.push_back({ service, std::string(organisation) });
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
    ++m_totals[cell];
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

std::vector<Row> BurnWindows::rowsOf(const Cells& cells) const
{
    std::vector<Row> rows(m_rowNames.size());
    for (auto& [cell, count] : cells) {
        auto& row = rows[cell.row];
        if (cell.reason == goodReason) {
            row.good += count;
            continue;
        }
        row.bad += count;
        row.reasons.push_back({ m_reasons[cell.reason], count });
    }
    std::vector<Row> seen;
    for (std::size_t it = 0; it < rows.size(); ++it) {
        auto& row = rows[it];
        if (row.good + row.bad == 0)
            continue;
        row.service = ServiceName(m_rowNames[it].service);
        row.organisation = OrganisationName(m_rowNames[it].organisation);
        std::sort(row.reasons.begin(), row.reasons.end(), [](auto& a, auto& b) { return a.count != b.count ? a.count > b.count : a.reason < b.reason; });
        seen.push_back(std::move(row));
    }
    return seen;
}

Window BurnWindows::windowOf(const Ring& ring, Clock::duration age) const
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
    return { ring.length, std::chrono::duration<double>(covered).count(), rowsOf(sum) };
}

Report BurnWindows::report(TimePoint now, const InstanceId& instance, std::string since) const
{
    Report report { instance, std::move(since), {} };
    for (auto& ring : m_rings)
        report.windows.push_back(windowOf(ring, now - m_start));
    return report;
}

std::string BurnWindows::prometheusText() const
{
    std::string text = fmt::format("# HELP {0} Requests by outcome; slow answers are bad.\n# TYPE {0} counter\n", metricName);
    auto it = std::back_inserter(text);
    for (auto& row : rowsOf(m_totals)) {
        auto labels = fmt::format("service=\"{}\",organisation=\"{}\"", escapedLabel(row.service.value()), escapedLabel(row.organisation.value()));
        if (row.good > 0)
            fmt::format_to(it, "{}{{{},outcome=\"good\",reason=\"\"}} {}\n", metricName, labels, row.good);
        for (auto& reason : row.reasons)
            fmt::format_to(it, "{}{{{},outcome=\"bad\",reason=\"{}\"}} {}\n", metricName, labels, escapedLabel(reason.reason), reason.count);
    }
    return text;
}

} // namespace swiftloft::burn
