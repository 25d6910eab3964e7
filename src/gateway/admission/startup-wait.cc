#include "src/gateway/admission/startup-wait.h"

#include <algorithm>

namespace swiftloft::gateway::admission {

std::optional<TimePoint> startupWaitEnd(TimePoint now, const StartupState& state, TimePoint deadline)
{
    auto left = std::max(deadline - now, Clock::duration(0));
    auto end = std::min({ state.startedAt + startupPeriod, now + Clock::duration(maxStartupWait), now + std::chrono::duration_cast<Clock::duration>(maxStartupWaitShare * left) });
    bool mayWait = end > now && state.waiting < maxStartupWaiting;
    return mayWait ? std::optional(end) : std::nullopt;
}

} // namespace swiftloft::gateway::admission
