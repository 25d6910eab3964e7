#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/settings/assembler.h>

#include <optional>
#include <string>

namespace swiftloft::settings {

enum class OfferOutcome {
    Accepted,
    /// The very revision in force.
    AlreadyHeld,
    /// Below the revision in force: a replica or peer that is behind.
    RefusedOlder,
    /// The number of the revision in force, with other content.
    RefusedConflict,
    RefusedInvalid,
};

/// Short stable name, such as "refused-older".
std::string_view toString(OfferOutcome outcome);

/// What became of an offered revision.
struct Offer {
    OfferOutcome outcome { OfferOutcome::Accepted };
    Revision revision;
    Digest digest;
    /// In force afterwards; nothing before the first accepted one.
    std::optional<Revision> inForce;
    /// For a refusal: why, and what mends it.
    std::string reason;
    /// The same refusal as the last one; already reported.
    bool isRepeat { false };

    bool isRefusal() const { return outcome != OfferOutcome::Accepted && outcome != OfferOutcome::AlreadyHeld; }
};

/// Holds the last good revision of the settings and decides what may replace it: only a higher one that is valid as a
/// whole. It never goes back, whatever is offered and in whatever order.
///
/// Two contents under one number can only come from a fault of the platform. The one taken first stays: taking the
/// other would revert an accepted configuration. Processes may then differ until the next revision, which all take;
/// the refusal says so at each of them.
class RevisionHolder {
public:
    struct Held {
        Revision revision;
        Digest digest;
        Tree tree;
        /// To be handed to peers and reused by the next revision.
        PartBytes text;
        std::vector<PartBytes> parts;
    };

    /// Whether reading the revision is worth it: false for what would be refused unseen, and for content that was found
    /// invalid before (validity is a function of the bytes).
    bool wants(Revision revision, const Digest& digest) const;

    Offer offer(Candidate candidate);

    /// Nothing before the first accepted revision.
    const std::optional<Held>& held() const { return m_held; }

    /// The last refusal that still calls for an operator (invalid or conflicting), until a revision at or above the
    /// refused one is accepted.
    const std::optional<Offer>& standingRefusal() const { return m_standingRefusal; }

private:
    Offer refuse(const Candidate& candidate, OfferOutcome outcome, std::string reason);
    void accept(Candidate candidate);
    bool isRefusedBefore(Revision revision, const Digest& digest) const;

    std::optional<Held> m_held;
    std::optional<Offer> m_standingRefusal;
};

} // namespace swiftloft::settings
