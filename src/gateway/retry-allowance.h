#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/units.h>

#include <deque>
#include <map>
#include <optional>

namespace swiftloft::gateway {

/// Limits the retries that all entries together may send to a service.
struct RetryAllowanceOptions {
    /// Retries earned by each request within the window.
    double ratio { 0.2 };
    /// Additional retries per window, over all entries.
    double slack { 0 };
    milliseconds window { 10000 };
    /// Fraction of the allowance that is used. The rest covers what entries can't observe of each other: their windows
    /// slide independently, and requests that clients sent but no entry read are not counted.
    double margin { 0.7 };
    /// The same for a process in its first window. A predecessor at the same place may have used `margin` within that
    /// window, so both fractions together stay below 1.
    double startMargin { 0.2 };
};

/// How much of its allowance an entry has used; for logs.
struct RetryUse {
    /// Retries of the window.
    std::size_t spent { 0 };
    /// Maximum number of retries in the window.
    double allowed { 0 };
    /// Requests of the window, which earn retries.
    std::size_t requests { 0 };
};

/// The part of the fleet's retry budget that one entry may use.
///
/// Guards against retry storms: when a service fails, retries of all requests multiply the load just when there is
/// least capacity for it. Each entry earns retries by its own requests and gets an equal part of the slack. That part
/// is computed from the number of entries that may exist, not from the number that the entry sees: otherwise the
/// entries on each side of a network partition would also use the slack of those on the other side.
///
/// A process does not know what its predecessors have sent, and the servers count that too. For one window after its
/// start it therefore uses a smaller fraction, of what it has earned since: of its own requests, and of the slack in
/// proportion to its age. However often an entry is restarted, what its starting processes earn within a window adds up to
/// no more than `startMargin` times one entry's part, because no request and no moment is counted for two processes.
class RetryAllowance {
public:
    explicit RetryAllowance(const RetryAllowanceOptions& options)
        : m_options(options)
    {
    }

    /// The process has started; later calls have no effect. Until the first, no retry is allowed.
    void start(TimePoint now) { m_startEndsAt = m_startEndsAt.value_or(now + m_options.window); }
    /// Sets the number of entries that may exist; it never decreases.
    void raiseMaxEntries(std::size_t maxEntries) { m_maxEntries = std::max(m_maxEntries, maxEntries); }
    void onRequest(const ServiceName& service, TimePoint now);
    /// Takes one retry from the allowance; returns false if none is left.
    bool tryTake(const ServiceName& service, TimePoint now);
    /// What has been taken of the allowance, and how much there is.
    RetryUse use(const ServiceName& service, TimePoint now);

private:
    struct Traffic {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    void expireOld(Traffic& traffic, TimePoint now) const;
    double allowedRetries(std::size_t requests, TimePoint now) const;

    RetryAllowanceOptions m_options;
    std::size_t m_maxEntries { 1 };
    /// End of the first window of this process; unset until it has started.
    std::optional<TimePoint> m_startEndsAt;
    std::map<ServiceName, Traffic> m_traffic;
};

} // namespace swiftloft::gateway
