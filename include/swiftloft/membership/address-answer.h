#pragma once

#include <swiftloft/membership/view.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace swiftloft::membership {

struct AddressAnswerOptions {
    std::size_t maxAddresses { 3 }; ///< Maximum number of addresses in one answer.
    milliseconds meanLifetime { 10'000 }; ///< Average time for which a client keeps an answer.
    /// Returns the load of an entry from 0 (idle) to 1 (full). New clients are directed towards idle entries. If empty,
    /// all entries are weighted equally.
    std::function<double(const NodeId&)> load;
};

struct AddressAnswer {
    std::vector<TrafficAddress> addresses; ///< Nearest first. Empty only if no entry is usable.
    TimePoint expiresAt; ///< Time at which the client has to request a new answer.
};

/// Selects the entries that a client should use for a service.
///
/// Entries in the client's data centre come first, then those in its region, then all others. If the client's data
/// centre is unknown, the data centres of the service's agents are used in its place. The last address is in another
/// data centre if one is available, so that the client still has an address after the loss of a site. Leaving and dead
/// entries are never returned. Suspect entries are returned only if too few healthy ones exist. The same arguments
/// give the same answer.
AddressAnswer makeAddressAnswer(const View& view, const std::optional<DataCentreName>& client, const ServiceName& service,
    std::uint64_t seed, TimePoint now, const AddressAnswerOptions& options);

/// Returns the time until which an entry that starts leaving at `leftAt` must keep accepting connections. This covers
/// the longest time for which a client may hold an answer from a peer that had not yet received the leaving mark. Until
/// then, every response of the entry asks the client to request a new address answer.
TimePoint acceptUntil(TimePoint leftAt, const AddressAnswerOptions& options);

} // namespace swiftloft::membership
