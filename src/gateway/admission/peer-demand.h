#pragma once

#include "src/gateway/admission/demand-meter.h"
#include "src/gateway/peer-loads.h"
#include "src/gateway/snapshot.h"

#include <algorithm>
#include <functional>
#include <set>

namespace swiftloft::gateway::admission {

/// Demand that other entries report for services that are short of capacity there: from each entry of this data centre,
/// or of the fleet while it is small, and in sum from each other data centre. Pure: the time is passed in with each
/// call.
class PeerDemand {
public:
    /// Minimum interval between the reports of an entry that is short of capacity.
    static constexpr milliseconds reportInterval { 100 };
    /// Keeps reports within 20 KB/s; the maximum is half of their lifetime.
    static constexpr milliseconds intervalPerRecipient { 5 };
    static constexpr milliseconds maxReportInterval { 300 };
    static milliseconds intervalFor(int recipients) { return std::clamp(recipients * intervalPerRecipient, reportInterval, maxReportInterval); }
    /// A report is valid for this long: several of them in a row may get lost.
    static constexpr milliseconds reportLifetime { PeerLoads::reportLifetime };
    /// Reports beyond these bounds are ignored.
    static constexpr std::size_t maxPeers = 1024;
    static constexpr std::size_t maxServicesPerPeer = 32;

    void setFleet(TimePoint now, const Snapshot& snapshot);
    /// An update without demands leaves the previous ones in force, as they are sent less often. A service without
    /// priorities is no longer short of capacity at the sender.
    void onUpdate(TimePoint now, const LoadUpdate& update);

    /// Calls `visit` with each valid report for the service and the time at which it was received.
    using Visitor = std::function<void(const ServiceDemand& demand, TimePoint receivedAt)>;
    void forEach(const ServiceName& service, TimePoint now, const Visitor& visit) const;
    bool isShort(const ServiceName& service, TimePoint now) const;
    /// Sums, by service, of `own` and of the reports of single entries, for other data centres.
    std::vector<ServiceDemand> localSums(TimePoint now, std::vector<ServiceDemand> own) const;

private:
    struct Report {
        ServiceDemand demand;
        TimePoint receivedAt;
    };
    struct Peer {
        std::uint64_t sequence { 0 };
        TimePoint receivedAt;
        std::vector<Report> reports;
    };

    void expireSilentPeers(TimePoint now);

    std::map<Incarnation, Peer> m_peers;
    /// Entries whose demand is part of the sum that their data centre reports.
    std::set<Incarnation> m_remoteEntries;
    std::vector<Report> m_remoteReports;
};

} // namespace swiftloft::gateway::admission
