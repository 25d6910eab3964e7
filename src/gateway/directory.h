#pragma once

#include "src/gateway/homes.h"

#include <optional>
#include <vector>

/// The directory: the entries that a client is told to connect to.
namespace swiftloft::gateway {

/// What a client says when it asks for the directory.
struct DirectoryQuery {
    /// The host that the client wants to send requests to; empty if it names none.
    std::string host;
    std::optional<RegionName> region;
    std::optional<DataCentreName> dataCentre;
};

/// An entry that serves clients.
struct ServingEntry {
    Endpoint clients;
    DataCentreName dataCentre;
};

/// The entries that clients are sent to while no entry serves: of those that are leaving, the ones that accept requests
/// for longer than `maxAge`, the time for which clients keep a response, or all that accept any if there are none.
std::vector<ServingEntry> servingLeavers(const std::vector<LeavingEntry>& leavers, TimePoint now, milliseconds maxAge);

/// Upper bound of the entries in one directory response.
inline constexpr std::size_t maxDirectoryEntries = 64;

/// Chooses the entries for a client from `serving`, in order; empty if none serve. `own` is the data centre of the entry
/// that was asked, and `homes` the homes of the routes of the client's host, null if no route has any.
///
/// Without homes: the entries of `own`, or all if fewer than two serve there. Clients ask the nearest entry first, so a
/// client that asks this entry is in the same data centre. At least two entries are returned, if there are as many, so
/// that one remains when the other is lost.
///
/// With homes: only entries to which the client may send the body of any request of the host (those of its own region
/// and of the regions that all routes with homes share), then those of a home of some route, and all others only while
/// none of these serves. Among the allowed, the client's data centre comes before its region, as long as two serve there.
std::vector<Endpoint> directoryEntries(const std::vector<ServingEntry>& serving, const DirectoryQuery& query, const HostHomes* homes, const DataCentreRegions& regions, const DataCentreName& own);

} // namespace swiftloft::gateway
