#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/units.h>

#include <deque>
#include <map>

namespace swiftloft::gateway {

/// How many repeats all entries together may send to a service.
struct RetryAllowanceOptions {
    /// Repeats for each request of a window.
    double ratio { 0.2 };
    /// Repeats beyond that, in a window, over all entries.
    double slack { 0 };
    milliseconds window { 10000 };
    /// Part of the allowance that is used. The rest covers what entries can't see of each other: windows slide, and
    /// requests that clients sent and no entry read don't count here.
    double margin { 0.7 };
};

/// One entry's part of the retry budget of all entries.
///
/// Guards against retry storms: when a service fails, repeats of everything multiply the work just when there is least
/// room for it. Each entry earns repeats by its own requests and takes an even part of the slack, by the number of
/// entries that may exist rather than those it sees: in a partition each side would otherwise take the parts of the
/// other.
class RetryAllowance {
public:
    explicit RetryAllowance(const RetryAllowanceOptions& options)
        : m_options(options)
    {
    }

    /// Entries that may exist; never lowered.
    void raiseMaxEntries(std::size_t maxEntries) { m_maxEntries = std::max(m_maxEntries, maxEntries); }
    void onRequest(const ServiceName& service, TimePoint now);
    /// Takes one repeat if one is left.
    bool tryTake(const ServiceName& service, TimePoint now);

private:
    struct Traffic {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    void expireOld(Traffic& traffic, TimePoint now) const;

    RetryAllowanceOptions m_options;
    std::size_t m_maxEntries { 1 };
    std::map<ServiceName, Traffic> m_traffic;
};

} // namespace swiftloft::gateway
