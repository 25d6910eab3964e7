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
    static constexpr milliseconds toldBefore { 500 };
    static constexpr double factor { 1.5 };
    static constexpr double slack { 5 };

    /// The server names `rate` requests a second from now on; unset: it names none any more.
    void onLimit(TimePoint now, std::optional<double> rate)
    {
        if (!rate) {
            m_namedAt.reset();
            m_arrivals.clear();
            m_toldAt.clear();
        } else if (!m_namedAt)
            m_namedAt = now;
        m_rates.push_back({ now, rate });
    }
    /// The entry passes on an answer that names a limit.
    void onPassedOn(TimePoint now, int entry)
    {
        if (m_namedAt)
            m_toldAt.try_emplace(entry, now);
    }
    /// The entry was restarted, stands still or is cut off; tell both the begin and the end.
    void onExcused(TimePoint now, int entry) { m_excusedAt[entry] = now; }
    void onArrival(TimePoint now, int entry)
    {
        if (!m_namedAt)
            return;
        m_arrivals.push_back({ now, entry });
        while (m_arrivals.front().at + window <= now)
            m_arrivals.pop_front();
        if (now < *m_namedAt + bindsAfter)
            return;
        auto counts = [&](auto& it) {
            auto told = m_toldAt.find(it.entry);
            auto excused = m_excusedAt.find(it.entry);
            bool isExcused = excused != m_excusedAt.end() && excused->second + bindsAfter >= *m_namedAt;
            return !isExcused && told != m_toldAt.end() && told->second + toldBefore <= now;
        };
        auto n = static_cast<double>(std::count_if(m_arrivals.begin(), m_arrivals.end(), counts));
        auto allowed = factor * highestRate(now) * std::chrono::duration<double>(window).count() + slack;
        m_most = std::max(m_most, n - allowed);
        if (n > allowed && m_broken.empty())
            m_broken = fmt::format("{:.3f} s after it first named a limit a server got {} requests in {} ms, allowed {:.1f}",
                std::chrono::duration<double>(now - *m_namedAt).count(), n, window.count(), allowed);
    }

    /// What was broken first; empty while nothing was.
    const std::string& broken() const { return m_broken; }
    /// Requests beyond what was allowed in the worst window; below zero when nothing was broken.
    double most() const { return m_most; }

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

    std::optional<TimePoint> m_namedAt;
    std::map<int, TimePoint> m_toldAt;
    std::map<int, TimePoint> m_excusedAt;
    std::deque<Arrival> m_arrivals;
    std::vector<Rate> m_rates;
    std::string m_broken;
    double m_most { -1e9 };
};

} // namespace swiftloft::test
