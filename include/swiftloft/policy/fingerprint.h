#pragma once

#include <swiftloft/ids.h>

#include <string_view>

namespace swiftloft::policy {

/// Fingerprint of a request, equal when organisation, service and body are equal, whatever request key a resend
/// carries. Whitespace outside JSON strings is ignored, since clients may format the body differently on each send.
/// Needs one pass over the body and does not copy it.
Fingerprint fingerprintOf(const OrganisationName& organisation, const ServiceName& service, std::string_view body);

/// The parts of an HTTP request that a resend has in common with the original.
struct RequestContent {
    /// Empty on routes that need no key.
    OrganisationName organisation;
    /// Path and query.
    std::string_view target;
    std::string_view body;
};

/// Fingerprint of an HTTP request, equal when all parts of its content are equal byte for byte. Needs one pass over the
/// body and does not copy it.
Fingerprint fingerprintOf(const RequestContent& content);

/// Fingerprint of a part of prompts for a service. Does not depend on the caller: what a part does to a server of the
/// service is the same for all of them.
Fingerprint fingerprintOf(const ServiceName& service, PromptPartId part);

} // namespace swiftloft::policy
