#pragma once

#include <swiftloft/units.h>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace swiftloft::test {

/// Checks one backend server that requests back-offs from entries, from the traffic on its sockets.
///
/// The rule: from `bindsAfter` after the server has requested a back-off from an entry until the end of the back-off,
/// it receives no more than `allowed` requests from that entry. Each response that requests a back-off is checked
/// separately. An entry that was restarted, stalled or disconnected in the meantime is not checked.
class BackOffRule {
public:
    static constexpr milliseconds bindsAfter { 500 };
    static constexpr int allowed { 2 };

    /// The server responds to the entry and requests a back-off until the time `until`.
    void onRequested(TimePoint now, int entry, TimePoint until) { m_backOffs[entry].push_back({ now, until }); }
    /// The entry was restarted, is stalled or is disconnected; call at both the start and the end.
    void onExempted(int entry) { m_backOffs.erase(entry); }
    /// Another server takes the place of the checked one.
    void onReplaced() { m_backOffs.clear(); }
    void onArrival(TimePoint now, int entry)
    {
        auto& backOffs = m_backOffs[entry];
        std::erase_if(backOffs, [&](auto& it) { return it.until <= now; });
        for (auto& backOff : backOffs) {
            if (now <= backOff.requestedAt + bindsAfter)
                continue;
            ++backOff.arrivals;
            if (backOff.arrivals <= allowed)
                continue;
            ++m_violationCount;
            auto length = std::chrono::duration<double>(backOff.until - backOff.requestedAt).count();
            m_violation = fmt::format("entry {} was asked to back off for {:.3f} s, and the server received {} requests from it in that time; allowed {}", entry, length, backOff.arrivals, allowed);
        }
    }

    /// Description of the last violation; empty if there was none.
    const std::string& violation() const { return m_violation; }
    /// Arrivals beyond the allowed number, counted once for each back-off that they fall into.
    int violationCount() const { return m_violationCount; }

private:
    struct BackOff {
        TimePoint requestedAt;
        TimePoint until;
        int arrivals { 0 };
    };

    std::map<int, std::vector<BackOff>> m_backOffs;
    std::string m_violation;
    int m_violationCount { 0 };
};

} // namespace swiftloft::test
