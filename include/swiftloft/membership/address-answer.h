#pragma once

#include <swiftloft/membership/view.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace swiftloft::membership {

struct AddressAnswerOptions {
    std::size_t maxAddresses { 3 }; ///< In one answer.
    milliseconds meanLifetime { 10'000 }; ///< That clients keep an answer, on average.
    /// Load of an entry, 0 idle to 1 full; spreads new clients towards idle ones. Empty: all alike.
    std::function<double(const NodeId&)> load;
};

struct AddressAnswer {
    std::vector<TrafficAddress> addresses; ///< Nearest first; empty only when no entry is usable.
    TimePoint expiresAt; ///< When the client has to ask again.
};

/// Which entries a client should use for a service.
///
/// Entries in the client's data centre come first, then its region, then the rest; when it isn't known, entries beside
/// the agents of the service do. The last address is in another data centre, where one exists, so that the loss of a
/// site leaves the client an address. A leaving or dead entry is never named; a suspect one only when nothing else is
/// left. The same arguments give the same answer.
AddressAnswer makeAddressAnswer(const View& view, const std::optional<DataCentreName>& client, const ServiceName& service,
    std::uint64_t seed, TimePoint now, const AddressAnswerOptions& options);

/// Until when an entry that begins to leave at `leftAt` has to go on accepting connections: the longest that a client
/// may hold an answer given by a peer that had not yet heard of it. All that while it says "ask again" with each answer.
TimePoint acceptUntil(TimePoint leftAt, const AddressAnswerOptions& options);

} // namespace swiftloft::membership
