#pragma once

#include <swiftloft/units.h>

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace swiftloft::test {

/// Checks one backend server that advertises a limit, from the traffic on its sockets and those of the clients.
///
/// The rule: from `bindsAfter` after a server first advertised its limit, it receives in no `window` more than `factor`
/// times what the limit allows there, plus `slack` requests. Only these requests are counted: those since the server
/// advertised the limit, from entries that forwarded a response with the limit at least `propagationTime` ago. An entry
/// that was restarted, stalled or disconnected is not counted, even if that was up to `bindsAfter` before the limit was
/// advertised.
class LimitRule {
public:
    static constexpr milliseconds bindsAfter { 3000 };
    static constexpr milliseconds window { 4000 };
    static constexpr milliseconds propagationTime { 500 };
    static constexpr double factor { 1.5 };
    static constexpr double slack { 5 };

    /// The server advertises `rate` requests per second from now on; unset: it advertises no limit any more.
    void onLimit(TimePoint now, std::optional<double> rate)
    {
        if (!rate) {
            m_advertisedAt.reset();
            m_arrivals.clear();
            m_forwardedAt.clear();
        } else if (!m_advertisedAt)
            m_advertisedAt = now;
        m_rates.push_back({ now, rate });
    }
    /// The entry forwards a response that advertises a limit.
    void onForwarded(TimePoint now, int entry)
    {
        if (m_advertisedAt)
            m_forwardedAt.try_emplace(entry, now);
    }
    /// The entry was restarted, is stalled or is disconnected; call at both the start and the end.
    void onExempted(TimePoint now, int entry) { m_exemptedAt[entry] = now; }
    void onArrival(TimePoint now, int entry)
    {
        if (!m_advertisedAt)
            return;
        m_arrivals.push_back({ now, entry });
        while (m_arrivals.front().at + window <= now)
            m_arrivals.pop_front();
        if (now < *m_advertisedAt + bindsAfter)
            return;
        auto counts = [&](auto& it) {
            auto forwarded = m_forwardedAt.find(it.entry);
            auto exempted = m_exemptedAt.find(it.entry);
            bool isExempted = exempted != m_exemptedAt.end() && exempted->second + bindsAfter >= *m_advertisedAt;
            return !isExempted && forwarded != m_forwardedAt.end() && forwarded->second + propagationTime <= now;
        };
        auto n = static_cast<double>(std::count_if(m_arrivals.begin(), m_arrivals.end(), counts));
        auto allowed = factor * highestRate(now) * std::chrono::duration<double>(window).count() + slack;
        m_worstExcess = std::max(m_worstExcess, n - allowed);
        if (n > allowed && m_violation.empty())
            m_violation = fmt::format("{:.3f} s after first advertising a limit, the server received {} requests in {} ms; allowed {:.1f}",
                std::chrono::duration<double>(now - *m_advertisedAt).count(), n, window.count(), allowed);
    }

    /// Description of the first violation; empty if there was none.
    const std::string& violation() const { return m_violation; }
    /// Requests beyond the allowed number in the worst window; negative if there was no violation.
    double worstExcess() const { return m_worstExcess; }

private:
    struct Arrival {
        TimePoint at;
        int entry { 0 };
    };
    struct Rate {
        TimePoint from;
        std::optional<double> rate;
    };

    /// The highest rate in force within the last window.
    double highestRate(TimePoint now) const
    {
        double highest = 0;
        for (std::size_t n = 0; n < m_rates.size(); ++n) {
            bool isOver = n + 1 < m_rates.size() && m_rates[n + 1].from + window <= now;
            if (!isOver)
                highest = std::max(highest, m_rates[n].rate.value_or(0));
        }
        return highest;
    }

    std::optional<TimePoint> m_advertisedAt;
    std::map<int, TimePoint> m_forwardedAt;
    std::map<int, TimePoint> m_exemptedAt;
    std::deque<Arrival> m_arrivals;
    std::vector<Rate> m_rates;
    std::string m_violation;
    double m_worstExcess { -1e9 };
};

} // namespace swiftloft::test
