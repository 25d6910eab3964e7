#include <swiftloft/settings/revision-holder.h>

#include <fmt/format.h>

#include <array>

namespace swiftloft::settings {

namespace {

std::string reasonFrom(const std::vector<Problem>& problems)
{
    if (problems.empty())
        return "it has no tree";
    auto more = problems.size() > 1 ? fmt::format(" (and {} more)", problems.size() - 1) : std::string();
    return problems.front().toString() + more;
}

} // namespace

std::string_view toString(OfferOutcome outcome)
{
    constexpr std::array<std::string_view, 5> names { "accepted", "already-held", "refused-older", "refused-conflict", "refused-invalid" };
    return names[static_cast<std::size_t>(outcome)];
}

bool RevisionHolder::isRefusedBefore(Revision revision, const Digest& digest) const
{
    return m_standingRefusal && m_standingRefusal->revision == revision && m_standingRefusal->digest == digest;
}

bool RevisionHolder::wants(Revision revision, const Digest& digest) const
{
    if (m_held && revision <= m_held->revision)
        return false;
    return !isRefusedBefore(revision, digest);
}

Offer RevisionHolder::offer(Candidate candidate)
{
    if (m_held && candidate.revision < m_held->revision)
        return refuse(candidate, OfferOutcome::RefusedOlder, fmt::format("revision {} is in force", m_held->revision.value()));
    if (m_held && candidate.revision == m_held->revision && candidate.digest != m_held->digest) {
        return refuse(candidate, OfferOutcome::RefusedConflict,
            fmt::format("the content taken first ({:.12}) stays; publish a higher revision", m_held->digest.value()));
    }
    if (m_held && candidate.revision == m_held->revision)
        return { OfferOutcome::AlreadyHeld, candidate.revision, candidate.digest, m_held->revision, {}, false };
    if (!candidate.parsed.tree)
        return refuse(candidate, OfferOutcome::RefusedInvalid, reasonFrom(candidate.parsed.problems));
    Offer offer { OfferOutcome::Accepted, candidate.revision, candidate.digest, candidate.revision, {}, false };
    accept(std::move(candidate));
    return offer;
}

Offer RevisionHolder::refuse(const Candidate& candidate, OfferOutcome outcome, std::string reason)
{
    Offer offer { outcome, candidate.revision, candidate.digest, std::nullopt, std::move(reason), false };
    if (m_held)
        offer.inForce = m_held->revision;
    // A replica that is behind mends itself; only the others wait for an operator.
    if (outcome == OfferOutcome::RefusedOlder)
        return offer;
    offer.isRepeat = isRefusedBefore(candidate.revision, candidate.digest);
    if (!m_standingRefusal || m_standingRefusal->revision <= candidate.revision)
        m_standingRefusal = offer;
    return offer;
}

void RevisionHolder::accept(Candidate candidate)
{
    if (m_standingRefusal && m_standingRefusal->revision <= candidate.revision)
        m_standingRefusal.reset();
    m_held = Held { candidate.revision, candidate.digest, *candidate.parsed.tree, std::move(candidate.text), std::move(candidate.parts) };
}

} // namespace swiftloft::settings
