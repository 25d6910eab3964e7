#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/result.h>

#include <cstdint>
#include <string_view>

namespace swiftloft::policy {

/// A stretch in the life of one agent incarnation, counted by that agent alone. Orders tickets without a clock.
using MintEpoch = Strong<struct MintEpochTag, std::uint64_t>;

/// A request key minted by an entry. It names the only agent incarnation that may start the request, so that no two
/// processes ever have to agree on who runs it.
struct Ticket {
    BackendServerId agent;
    Incarnation agentIncarnation;
    /// The agent's epoch as the entry last heard it.
    MintEpoch epoch;
    /// The entry that minted the ticket, and its counter: no two tickets are equal.
    Incarnation mintedBy;
    std::uint64_t serial { 0 };

    friend bool operator==(const Ticket&, const Ticket&) = default;
};

/// Text form of tickets, as clients hold them and send them back:
/// `sl1.INCARNATION.EPOCH.MINTER.SERIAL.CHECKSUM.AGENT`, numbers as 16 lower-case hexadecimal digits.
///
/// The checksum covers the organisation, so a ticket of one organisation is malformed for another. It detects damage;
/// it is no signature: a client that forges tickets harms requests of its own organisation only.
class TicketCodec {
public:
    /// Fails with `InvalidArgument` when the agent's id is empty, too long or has characters outside `A-Za-z0-9._:-`.
    static Result<RequestKey> encode(const Ticket& ticket, const OrganisationName& organisation);
    /// Fails with `MalformedInput` on anything that `encode` for the same organisation does not give. Safe on any bytes.
    static Result<Ticket> decode(std::string_view text, const OrganisationName& organisation);
    /// True when `text` claims to be a ticket, so that a damaged one is refused and not taken for a client's own key.
    static bool hasTicketPrefix(std::string_view text);
};

} // namespace swiftloft::policy
