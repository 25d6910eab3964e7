#pragma once

#include <swiftloft/strong.h>

#include <string>
#include <string_view>

namespace swiftloft::settings {

/// A SHA-256 digest as 64 lower-case hexadecimal digits.
using Digest = Strong<struct DigestTag, std::string>;

Digest digestOf(std::string_view bytes);

} // namespace swiftloft::settings
