#pragma once

#include <swiftloft/ids.h>

#include <string_view>

namespace swiftloft::policy {

/// Fingerprint of a request, equal when organisation, service and body are equal, whatever request key a resend
/// carries. Whitespace outside JSON strings is ignored, since clients may format the body differently on each send.
/// Needs one pass over the body and does not copy it.
Fingerprint fingerprintOf(const OrganisationName& organisation, const ServiceName& service, std::string_view body);

} // namespace swiftloft::policy
