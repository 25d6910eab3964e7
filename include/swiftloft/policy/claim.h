#pragma once

#include <swiftloft/ids.h>

#include <compare>
#include <cstdint>
#include <functional>

namespace swiftloft::policy {

/// Order of the published instance lists.
using ListRevision = Strong<struct ListRevisionTag, std::uint64_t>;

/// A key that a client brought itself. Equal keys of two organisations are two requests.
struct ClientKey {
    OrganisationName organisation;
    RequestKey key;

    friend auto operator<=>(const ClientKey&, const ClientKey&) = default;
};

/// One attempt of one entry to become the only one that runs a key. Never used again.
struct ClaimId {
    Incarnation entry;
    std::uint64_t serial { 0 };

    friend auto operator<=>(const ClaimId&, const ClaimId&) = default;
};

struct ClaimRequest {
    ClientKey key;
    ClaimId claim;
    /// The instance list under which the entry worked out the key's homes.
    ListRevision revision;
    /// The agent that will run the request once all homes have granted.
    BackendServerId runner;
};

enum class ClaimAnswer {
    Granted,
    /// Another claim holds the key; `ClaimReply::runner` runs it or will.
    Held,
    /// The entry's list is too old; `ClaimReply::revision` is a newer one.
    StaleList,
    /// This incarnation is too young to know what its predecessor granted.
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
    /// The claim is not held here, or not any more.
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
