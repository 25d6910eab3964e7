#pragma once

#include "src/gateway/control-message.h"

#include <map>
#include <optional>

namespace swiftloft::gateway {

/// The data centres that the operator has evacuated: their backend servers receive no new requests until the evacuation
/// ends.
///
/// The state is known as of a position of the store. State of a higher position replaces it, whether it comes from the
/// store or from another entry, so that a late message or an older copy of the store neither starts nor ends an
/// evacuation. Pure.
class Evacuations {
public:
    /// The end of an evacuation is remembered for this long. Servers that stay cold for longer count as cold after this
    /// time only if the list says so.
    static constexpr milliseconds endRetention { 60'000 };

    /// Processes a complete list. Returns true if the evacuated data centres have changed.
    bool onListed(TimePoint now, const PublishedItems& items);
    /// Processes changes that are complete up to `items.position()`. Returns true as above.
    bool onChanged(TimePoint now, const PublishedItems& items);
    /// Processes the report of another entry. Returns true as above.
    bool onPeerReport(TimePoint now, const EvacuationReport& report);

    bool isEvacuated(const DataCentreName& dataCentre) const { return m_requests.contains(dataCentre); }
    /// When this entry learned that the last evacuation of the data centre had ended; unset if it is evacuated, has never
    /// been, or the end is longer ago than `endRetention`.
    std::optional<TimePoint> endedAt(const DataCentreName& dataCentre) const;
    /// The current state, to be sent to other entries.
    EvacuationReport report() const;
    /// The evacuated data centres, with the positions of the requests.
    const std::map<DataCentreName, StorePosition>& requests() const { return m_requests; }

private:
    using Requests = std::map<DataCentreName, StorePosition>;

    bool update(TimePoint now, StorePosition asOf, Requests requests);

    Requests m_requests;
    StorePosition m_asOf;
    std::map<DataCentreName, TimePoint> m_endedAt;
};

} // namespace swiftloft::gateway
