#pragma once

#include "standin/batch.h"

#include <swiftloft/result.h>

#include <string>
#include <string_view>

/// The JSON of completion and chat-completion requests and answers.
namespace swiftloft::standin {

struct CompletionRequest {
    std::string prompt;
    std::int64_t maxTokens { 16 };
    bool isStream { false };
};

Result<CompletionRequest> parseCompletionRequest(std::string_view body, bool isChat);
std::uint64_t fingerprintOf(std::string_view body);

/// Server-sent events for tokens `begin` to `end` (exclusive).
std::string streamEvents(const Generation&, std::int64_t begin, std::int64_t end, bool isChat);
std::string wholeAnswerJson(const Generation&, bool isChat);

} // namespace swiftloft::standin
