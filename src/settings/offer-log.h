#pragma once

#include <swiftloft/settings/revision-holder.h>

namespace swiftloft::settings {

/// Writes the log event of an offer. A repeated refusal and a revision already held write nothing, so that a service
/// that offers a bad revision on every read doesn't fill the log.
void logOffer(const Offer& offer);

} // namespace swiftloft::settings
