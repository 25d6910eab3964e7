#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// The text that a stand-in engine answers with: a pure function of the prompt, so that whoever asked can check that an
/// answer is whole, in order and its own.
namespace swiftloft::standin {

/// Hash of a prompt, eight hexadecimal digits.
std::string promptHash(std::string_view prompt);

/// Token number `index` of the answer to the prompt with `hash`, with a space at its end: "t7-1c291ca3 ".
std::string answerToken(std::int64_t index, std::string_view hash);

/// Tokens `begin` to `end` (exclusive) of the answer.
std::string answerText(std::int64_t begin, std::int64_t end, std::string_view hash);

/// A chat message as it enters the prompt.
std::string chatMessageText(std::string_view role, std::string_view content);

/// Tokens a text counts as: one for four characters, at least one.
std::int64_t tokenCount(std::string_view text);

} // namespace swiftloft::standin
