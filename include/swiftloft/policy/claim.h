#pragma once

#include <swiftloft/ids.h>

#include <compare>
#include <cstdint>
#include <functional>

namespace swiftloft::policy {

/// Revision of the published instance list; later lists have higher revisions.
using ListRevision = Strong<struct ListRevisionTag, std::uint64_t>;

/// A request key chosen by the client. Equal keys of two organisations denote different requests.
struct ClientKey {
    OrganisationName organisation;
    RequestKey key;

    friend auto operator<=>(const ClientKey&, const ClientKey&) = default;
};

/// Identifies one attempt of one entry to claim a key. Ids are never reused.
struct ClaimId {
    Incarnation entry;
    std::uint64_t serial { 0 };

    friend auto operator<=>(const ClaimId&, const ClaimId&) = default;
};

struct ClaimRequest {
    ClientKey key;
    ClaimId claim;
    /// Revision of the instance list from which the entry computed the key's homes.
    ListRevision revision;
    /// The agent that runs the request once all homes have granted the claim.
    BackendServerId runner;
};

enum class ClaimAnswer {
    Granted,
    /// Another claim holds the key. `ClaimReply::runner` is the agent that runs it or will run it.
    Held,
    /// The entry's instance list is too old. `ClaimReply::revision` is a newer revision.
    StaleList,
    /// This incarnation started too recently to know which claims the previous incarnation granted.
    TooYoung,
    Full,
};

struct ClaimReply {
    ClaimId claim;
    ClaimAnswer answer { ClaimAnswer::Full };
    Incarnation agent;
    BackendServerId runner;
    ListRevision revision;
};

enum class RunAnswer {
    Run,
    AlreadyRunning,
    AlreadyFinished,
    /// This agent does not hold the claim, or the claim has expired.
    NotClaimed,
};

} // namespace swiftloft::policy

template <>
struct std::hash<swiftloft::policy::ClientKey> {
    std::size_t operator()(const swiftloft::policy::ClientKey& it) const
    {
        return std::hash<swiftloft::OrganisationName> {}(it.organisation) * 31 + std::hash<swiftloft::RequestKey> {}(it.key);
    }
};
