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

/// Judges one backend server that names a limit, by what crosses its sockets and those of the clients.
///
/// The rule: from `bindsAfter` after a server first named its limit, it gets in no `window` more than `factor` times what the
/// limit allows there, and `slack` requests. Counted is what has come since it named the limit, from entries that passed such
/// an answer on `toldBefore` ago or earlier. An entry that was restarted, stood still or was cut off is not counted, also when that
/// was up to `bindsAfter` before the limit was named.
class LimitRule {
public:
    static constexpr milliseconds bindsAfter { 3000 };
    static constexpr milliseconds window { 4000 };
    static constexpr milliseconds propagationTime { 500 };
    static constexpr double factor { 1.5 };
    static constexpr double slack { 5 };

    /// The server names `rate` requests a second from now on; unset: it names none any more.
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
    /// The entry passes on an answer that names a limit.
    void onForwarded(TimePoint now, int entry)
    {
        if (m_advertisedAt)
            m_forwardedAt.try_emplace(entry, now);
    }
    /// The entry was restarted, stands still or is cut off; tell both the begin and the end.
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
            m_violation = fmt::format("{:.3f} s after it first named a limit a server got {} requests in {} ms, allowed {:.1f}",
                std::chrono::duration<double>(now - *m_advertisedAt).count(), n, window.count(), allowed);
    }

    /// What was broken first; empty while nothing was.
    const std::string& violation() const { return m_violation; }
    /// Requests beyond what was allowed in the worst window; below zero when nothing was broken.
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

    /// Of those in force within the last window.
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
