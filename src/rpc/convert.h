#pragma once

#include "src/rpc/agent.capnp.h"

#include <swiftloft/policy/claim.h>
#include <swiftloft/policy/crash-quarantine.h>
#include <swiftloft/policy/ticket.h>
#include <swiftloft/verdict.h>

#include <span>
#include <string>
#include <vector>

/// Between the messages of `agent.capnp` and the types of the library. Any bytes a peer sends are safe to convert.
namespace swiftloft::rpc {

std::string toString(capnp::Text::Reader text);
kj::StringPtr toText(const std::string& text);

/// A verdict that this build does not know counts as "may have run", the only safe reading.
Verdict toVerdict(schema::Verdict verdict);
schema::Verdict toSchema(Verdict verdict);

policy::Ticket toTicket(schema::Ticket::Reader from);
void fill(schema::Ticket::Builder to, const policy::Ticket& from);

policy::ClaimRequest toClaim(schema::Claim::Reader from);
void fill(schema::Claim::Builder to, const policy::ClaimRequest& from);
policy::ClaimReply toClaimReply(schema::ClaimReply::Reader from, const policy::ClaimId& claim);
void fill(schema::ClaimReply::Builder to, const policy::ClaimReply& from);

std::vector<policy::SuspicionMessage> toSuspicions(capnp::List<schema::Suspicion>::Reader from);

/// Most suspicions that one heartbeat carries.
constexpr std::size_t mostSuspicions = 256;

/// `Builder` has `initSuspicions(n)`. Takes the first `mostSuspicions`.
template <typename Builder>
void fillSuspicions(Builder to, std::span<const policy::SuspicionMessage> from)
{
    auto taken = from.first(std::min(from.size(), mostSuspicions));
    auto list = to.initSuspicions(static_cast<unsigned>(taken.size()));
    for (unsigned n = 0; n < taken.size(); ++n) {
        list[n].setFingerprint(taken[n].fingerprint.value());
        list[n].setCrash(taken[n].crash.value());
        list[n].setIsCleared(taken[n].isCleared);
        list[n].setRemainingMs(static_cast<std::uint32_t>(taken[n].remaining.count()));
        list[n].setHops(taken[n].hops);
    }
}

} // namespace swiftloft::rpc
