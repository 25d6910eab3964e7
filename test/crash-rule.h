#pragma once

#include <swiftloft/units.h>

#include <fmt/format.h>

#include <map>
#include <optional>
#include <string>

namespace swiftloft::test {

/// Checks how often one request that crashes the servers that run it is sent to servers.
///
/// The rule: servers receive the request no more than `allowed` times from entries in touch later than `stableWindow`
/// after it has crashed the server number `crashesBeforeCheck`. An entry is in touch if it was not restarted, stalled
/// or disconnected within `stableWindow` before.
class CrashRule {
public:
    static constexpr milliseconds stableWindow { 3000 };
    static constexpr int crashesBeforeCheck { 3 };
    static constexpr int allowed { 3 };

    void onCrash(TimePoint now)
    {
        if (++m_crashes == crashesBeforeCheck)
            m_bindsFrom = now + stableWindow;
    }
    /// The entry is restarted, stalled or disconnected until `until`.
    void onExempted(int entry, TimePoint until) { m_exemptUntil[entry] = until + stableWindow; }
    /// A server has received the request, which the entry sent at `sentAt`.
    void onArrival(TimePoint sentAt, int entry)
    {
        bool isExempt = m_exemptUntil.contains(entry) && sentAt <= m_exemptUntil[entry];
        if (!m_bindsFrom || sentAt <= *m_bindsFrom || isExempt)
            return;
        ++m_arrivals;
    }

    int crashes() const { return m_crashes; }
    /// Arrivals that the rule counts.
    int countedArrivals() const { return m_arrivals; }
    /// Description of the violation; empty if there was none.
    std::string violation() const
    {
        if (m_arrivals <= allowed)
            return "";
        return fmt::format("a request that had crashed {} servers was sent to servers {} times more; {} crashed in all; allowed {}", crashesBeforeCheck, m_arrivals, m_crashes, allowed);
    }

private:
    int m_crashes { 0 };
    int m_arrivals { 0 };
    std::optional<TimePoint> m_bindsFrom;
    std::map<int, TimePoint> m_exemptUntil;
};

} // namespace swiftloft::test
