#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/result.h>

#include <cstdint>
#include <string_view>

namespace swiftloft::policy {

/// Counter of time periods of one agent incarnation, advanced by that agent alone. Orders tickets without a clock.
using MintEpoch = Strong<struct MintEpochTag, std::uint64_t>;

/// A request key minted by an entry. It names the only agent incarnation that may start the request, so that processes
/// never have to agree on which of them runs it.
struct Ticket {
    BackendServerId agent;
    Incarnation agentIncarnation;
    /// The agent's epoch as last reported to the entry.
    MintEpoch epoch;
    /// Incarnation of the entry that minted the ticket, and its counter. Together they make each ticket unique.
    Incarnation mintedBy;
    std::uint64_t serial { 0 };

    friend bool operator==(const Ticket&, const Ticket&) = default;
};

/// Encodes tickets as text, in which form clients store them and send them back:
/// `sl1.INCARNATION.EPOCH.MINTER.SERIAL.CHECKSUM.AGENT`, with numbers as 16 lower-case hexadecimal digits.
///
/// The checksum covers the organisation, so a ticket of one organisation is malformed for another. The checksum detects
/// damage but is not a signature: a client that forges tickets harms only requests of its own organisation.
class TicketCodec {
public:
    /// Fails with `InvalidArgument` when the agent's id is empty, too long or has characters outside `A-Za-z0-9._:-`.
    static Result<RequestKey> encode(const Ticket& ticket, const OrganisationName& organisation);
    /// Fails with `MalformedInput` on any text that `encode` does not produce for the same organisation. Safe for
    /// arbitrary bytes.
    static Result<Ticket> decode(std::string_view text, const OrganisationName& organisation);
    /// Returns true when `text` has the prefix of a ticket, so that a damaged ticket is refused and not treated as a
    /// key chosen by the client.
    static bool hasTicketPrefix(std::string_view text);
};

} // namespace swiftloft::policy
