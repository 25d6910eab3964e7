#include "src/settings/offer-log.h"

#include "src/log/logger.h"

namespace swiftloft::settings {

namespace {

std::string inForce(const Offer& offer)
{
    return offer.inForce ? fmt::format("{}", offer.inForce->value()) : "none";
}

void logRefusal(log::Event event, const Offer& offer)
{
    log::write(event, "revision={} digest={:.12} in-force={} reason=\"{}\"", offer.revision.value(), offer.digest.value(), inForce(offer), offer.reason);
}

} // namespace

void logOffer(const Offer& offer)
{
    if (offer.isRepeat)
        return;
    switch (offer.outcome) {
    case OfferOutcome::Accepted:
        log::write(log::Event::RevisionAccepted, "revision={} digest={:.12}", offer.revision.value(), offer.digest.value());
        return;
    case OfferOutcome::AlreadyHeld:
        return;
    case OfferOutcome::RefusedOlder:
        return logRefusal(log::Event::RevisionOlder, offer);
    case OfferOutcome::RefusedConflict:
        return logRefusal(log::Event::RevisionConflict, offer);
    case OfferOutcome::RefusedInvalid:
        return logRefusal(log::Event::RevisionInvalid, offer);
    }
}

} // namespace swiftloft::settings
