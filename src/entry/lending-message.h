#pragma once

#include <swiftloft/policy/organisation-limits.h>
#include <swiftloft/result.h>

#include <string>
#include <string_view>
#include <variant>

namespace swiftloft::entry {

/// A message of the lending protocol. With it, entries lend each other unused parts of an organisation's limit.
using LendingMessage = std::variant<policy::LendRequest, policy::LendGrant>;

std::string encode(const LendingMessage& message);

/// Fails with `MalformedInput` on bytes that are no lending message, and on amounts that are negative or not finite. Any
/// bytes are safe to pass.
Result<LendingMessage> decodeLendingMessage(std::string_view bytes);

} // namespace swiftloft::entry
