#pragma once

#include "src/gateway/admission/decaying-sum.h"

#include <swiftloft/ids.h>
#include <swiftloft/units.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace swiftloft::gateway::admission {

/// Gives refused clients of a service turns at the rate at which this entry gets capacity.
///
/// Answers a crowd that lasts for seconds: clients retry once, so a client that returns before there is capacity is lost,
/// and clients that return together are refused together. A turn is behind the turns of requests that are at least as
/// urgent, and in front of the others. Pure: the time is passed in with each call.
class ReturnTurns {
public:
    /// The rate of admissions is measured over about this time.
    static constexpr milliseconds rateWindow { 1000 };
    /// No client returns sooner: what made the entry refuse is still there, and the reports of other entries are as old.
    static constexpr milliseconds minDelay { 250 };
    /// Turns that a service keeps; further clients return at the end of the time that they wait.
    static constexpr std::size_t maxTurns { 4096 };

    /// A request of the service has been sent to a server.
    void onAdmitted(TimePoint now, const ServiceName& service);

    /// Returns when a client of this priority (0 is the most urgent) should return, no later than `latest`. Unset if
    /// its turn would come later, or if no request has been admitted recently.
    std::optional<TimePoint> take(TimePoint now, const ServiceName& service, unsigned priority, TimePoint latest);

    /// Clients of this priority that have been told to return and whose turn has not come yet.
    std::size_t returning(TimePoint now, const ServiceName& service, unsigned priority);
    /// Admissions per second.
    double rate(TimePoint now, const ServiceName& service) const;

private:
    struct Turn {
        TimePoint at;
        unsigned priority { 0 };

        friend bool operator<(const Turn& one, const Turn& other) { return std::tie(one.at, one.priority) < std::tie(other.at, other.priority); }
    };
    struct ServiceTurns {
        std::multiset<Turn> turns;
        DecayingSum admissions;
    };

    static void removePast(ServiceTurns& service, TimePoint now);

    std::map<ServiceName, ServiceTurns> m_services;
};

} // namespace swiftloft::gateway::admission
