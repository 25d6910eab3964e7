#include "src/burn/summary.h"

#include <algorithm>

namespace swiftloft::burn {

namespace {

/// Two percent of the budget of a month in an hour, as is usual for an alarm that wakes somebody.
constexpr double fastRate = 14.4;
constexpr double slowRate = 1;
/// Fewer bad requests in the shorter window raise no alarm: one failure of three requests is no trend.
constexpr std::uint64_t leastBad = 5;
constexpr std::size_t longest = windowLengths.size() - 1;

std::optional<std::size_t> indexOf(std::chrono::seconds length)
{
    auto it = std::find(windowLengths.begin(), windowLengths.end(), length);
    if (it == windowLengths.end())
        return std::nullopt;
    return static_cast<std::size_t>(it - windowLengths.begin());
}

double rateOf(const Burn& burn, settings::Ratio objective)
{
    auto all = static_cast<double>(burn.good + burn.bad);
    return all > 0 ? static_cast<double>(burn.bad) / all / (1 - objective.value()) : 0;
}

/// The shorter window of each pair ends the alarm soon after the burn has ended.
Alarm alarmOf(const std::array<Burn, windowLengths.size()>& burns)
{
    auto isOver = [&](std::size_t index, double rate) { return burns[index].rate >= rate && burns[index].bad >= leastBad; };
    if (isOver(0, fastRate) && isOver(1, fastRate))
        return Alarm::Fast;
    if (isOver(2, slowRate) && isOver(3, slowRate))
        return Alarm::Slow;
    return Alarm::None;
}

} // namespace

std::string_view toString(Alarm alarm)
{
    constexpr std::array<std::string_view, 3> names { "", "slow", "fast" };
    return names[static_cast<std::size_t>(alarm)];
}

bool Summary::hasAlarm() const
{
    return std::any_of(rows.begin(), rows.end(), [](auto& row) { return row.alarm != Alarm::None; });
}

void Summary::keepWorst(std::size_t n)
{
    std::vector<SummaryRow> kept;
    for (auto begin = rows.begin(); begin != rows.end();) {
        auto end = std::find_if(begin, rows.end(), [&](auto& row) { return row.service != begin->service; });
        std::stable_sort(begin + 1, end, [](auto& a, auto& b) { return a.burns[longest].bad > b.burns[longest].bad; });
        for (auto it = begin; it != end; ++it) {
            if (it - begin <= static_cast<std::ptrdiff_t>(n) || it->alarm != Alarm::None)
                kept.push_back(std::move(*it));
            else
                ++leftOut;
        }
        begin = end;
    }
    rows = std::move(kept);
}

void Summariser::add(const Answer& answer)
{
    ++m_summary.asked;
    if (!answer.report) {
        m_summary.missing.push_back({ answer.address, answer.report.error().message });
        return;
    }
    if (!m_seen.insert(answer.report->instance).second) {
        // The same entry under a second address: its share must enter neither the sums nor the coverage again.
        --m_summary.asked;
        return;
    }
    m_summary.instances.push_back(answer.report->instance);
    for (auto& window : answer.report->windows)
        add(window);
}

void Summariser::add(const Window& window)
{
    auto index = indexOf(window.length);
    if (!index)
        return;
    auto length = static_cast<double>(window.length.count());
    m_summary.coverage[*index] += std::clamp(window.coveredSeconds, 0.0, length);
    for (auto& row : window.rows) {
        add({ row.service, std::nullopt }, *index, row);
        if (!row.organisation.value().empty())
            add({ row.service, row.organisation }, *index, row);
    }
}

void Summariser::add(const RowKey& key, std::size_t index, const Row& row)
{
    auto& sums = m_sums[key];
    sums.burns[index].good += row.good;
    sums.burns[index].bad += row.bad;
    if (index != longest)
        return;
    for (auto& reason : row.reasons)
        sums.reasons[reason.reason] += reason.count;
}

SummaryRow Summariser::rowFrom(const RowKey& key, const Sums& sums, const ObjectiveOf& objectiveOf)
{
    SummaryRow row { key.service, key.organisation, objectiveOf(key.service), sums.burns, 1, Alarm::None, {} };
    for (auto& [reason, count] : sums.reasons)
        row.reasons.push_back({ reason, count });
    std::stable_sort(row.reasons.begin(), row.reasons.end(), [](auto& a, auto& b) { return a.count > b.count; });
    if (!row.objective)
        return row;
    for (auto& burn : row.burns)
        burn.rate = rateOf(burn, *row.objective);
    row.budgetLeft = 1 - row.burns[longest].rate;
    row.alarm = alarmOf(row.burns);
    return row;
}

Summary Summariser::finish(const ObjectiveOf& objectiveOf)
{
    for (std::size_t it = 0; it < windowLengths.size(); ++it) {
        auto wanted = static_cast<double>(m_summary.asked) * static_cast<double>(windowLengths[it].count());
        m_summary.coverage[it] = wanted > 0 ? m_summary.coverage[it] / wanted : 0;
    }
    for (auto& [key, sums] : m_sums)
        m_summary.rows.push_back(rowFrom(key, sums, objectiveOf));
    // Answers come in any order; a report must not depend on it.
    std::sort(m_summary.instances.begin(), m_summary.instances.end());
    std::sort(m_summary.missing.begin(), m_summary.missing.end(), [](auto& a, auto& b) { return a.address < b.address; });
    return std::move(m_summary);
}

} // namespace swiftloft::burn
