#pragma once

#include <swiftloft/ids.h>

#include <string_view>

namespace swiftloft::policy {

/// Fingerprint of a request: equal when organisation, service and body are equal, whatever key the resend carries.
/// Whitespace outside of JSON strings does not count, since clients format anew on each send. One pass, no allocation.
Fingerprint fingerprintOf(const OrganisationName& organisation, const ServiceName& service, std::string_view body);

} // namespace swiftloft::policy
