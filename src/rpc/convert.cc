#include "src/rpc/convert.h"

namespace swiftloft::rpc {

std::string toString(capnp::Text::Reader text)
{
    return { text.begin(), text.size() };
}

kj::StringPtr toText(const std::string& text)
{
    return { text.data(), text.size() };
}

Verdict toVerdict(schema::Verdict verdict)
{
    switch (verdict) {
    case schema::Verdict::NOT_RUN:
        return Verdict::NotRun;
    case schema::Verdict::RAN:
        return Verdict::Ran;
    default:
        return Verdict::MayHaveRun;
    }
}

schema::Verdict toSchema(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return schema::Verdict::NOT_RUN;
    case Verdict::Ran:
        return schema::Verdict::RAN;
    case Verdict::MayHaveRun:
        break;
    }
    return schema::Verdict::MAY_HAVE_RUN;
}

policy::Ticket toTicket(schema::Ticket::Reader from)
{
    policy::Ticket ticket;
    ticket.agent = BackendServerId(toString(from.getAgent()));
    ticket.agentIncarnation = Incarnation(from.getIncarnation());
    ticket.epoch = policy::MintEpoch(from.getEpoch());
    ticket.mintedBy = Incarnation(from.getMintedBy());
    ticket.serial = from.getSerial();
    return ticket;
}

void fill(schema::Ticket::Builder to, const policy::Ticket& from)
{
    to.setAgent(toText(from.agent.value()));
    to.setIncarnation(from.agentIncarnation.value());
    to.setEpoch(from.epoch.value());
    to.setMintedBy(from.mintedBy.value());
    to.setSerial(from.serial);
}

policy::ClaimRequest toClaim(schema::Claim::Reader from)
{
    policy::ClaimRequest claim;
    claim.key = { OrganisationName(toString(from.getOrganisation())), RequestKey(toString(from.getKey())) };
    claim.claim = { Incarnation(from.getEntry()), from.getSerial() };
    claim.revision = policy::ListRevision(from.getRevision());
    claim.runner = BackendServerId(toString(from.getRunner()));
    return claim;
}

void fill(schema::Claim::Builder to, const policy::ClaimRequest& from)
{
    to.setOrganisation(toText(from.key.organisation.value()));
    to.setKey(toText(from.key.key.value()));
    to.setEntry(from.claim.entry.value());
    to.setSerial(from.claim.serial);
    to.setRevision(from.revision.value());
    to.setRunner(toText(from.runner.value()));
}

policy::ClaimReply toClaimReply(schema::ClaimReply::Reader from, const policy::ClaimId& claim)
{
    policy::ClaimReply reply;
    reply.claim = claim;
    // An answer that this build does not know is read as the refusal it must be: only `granted` lets a request run.
    reply.answer = from.getAnswer() <= schema::ClaimAnswer::FULL ? static_cast<policy::ClaimAnswer>(from.getAnswer()) : policy::ClaimAnswer::Full;
    reply.agent = Incarnation(from.getIncarnation());
    reply.runner = BackendServerId(toString(from.getRunner()));
    reply.revision = policy::ListRevision(from.getRevision());
    return reply;
}

void fill(schema::ClaimReply::Builder to, const policy::ClaimReply& from)
{
    to.setAnswer(static_cast<schema::ClaimAnswer>(from.answer));
    to.setIncarnation(from.agent.value());
    to.setRunner(toText(from.runner.value()));
    to.setRevision(from.revision.value());
}

std::vector<policy::SuspicionMessage> toSuspicions(capnp::List<schema::Suspicion>::Reader from)
{
    std::vector<policy::SuspicionMessage> messages;
    for (auto it : from) {
        if (messages.size() == mostSuspicions)
            break;
        messages.push_back({ Fingerprint(it.getFingerprint()), policy::CrashId(it.getCrash()), it.getIsCleared(), milliseconds(it.getRemainingMs()), it.getHops() });
    }
    return messages;
}

} // namespace swiftloft::rpc
