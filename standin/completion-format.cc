#include "standin/completion-format.h"

#include "standin/answer-text.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <xxhash.h>

namespace swiftloft::standin {

namespace json = boost::json;

namespace {

constexpr std::int64_t mostTokens = 100'000;

Error malformed(std::string message)
{
    return { ErrorCode::MalformedInput, std::move(message) };
}

std::string promptOfMessages(const json::value& messages)
{
    std::string prompt;
    for (auto& message : messages.as_array()) {
        auto role = json::value_to<std::string>(message.as_object().at("role"));
        auto content = json::value_to<std::string>(message.as_object().at("content"));
        prompt += chatMessageText(role, content);
    }
    return prompt;
}

} // namespace

Result<CompletionRequest> parseCompletionRequest(std::string_view body, bool isChat)
{
    try {
        auto object = json::parse({ body.data(), body.size() }).as_object();
        CompletionRequest asked;
        asked.prompt = isChat ? promptOfMessages(object.at("messages")) : json::value_to<std::string>(object.at("prompt"));
        if (object.contains("max_tokens"))
            asked.maxTokens = object.at("max_tokens").to_number<std::int64_t>();
        if (object.contains("stream"))
            asked.isStream = object.at("stream").as_bool();
        if (asked.maxTokens < 1 || asked.maxTokens > mostTokens)
            return malformed(fmt::format("max_tokens must be 1 to {}", mostTokens));
        return asked;
    } catch (const std::exception& error) {
        return malformed(fmt::format("not a completion request: {}", error.what()));
    }
}

std::uint64_t fingerprintOf(std::string_view body)
{
    return XXH64(body.data(), body.size(), 0);
}

std::string streamEvents(const Generation& generation, std::int64_t begin, std::int64_t end, bool isChat)
{
    std::string events;
    for (auto i = begin; i < end; ++i) {
        auto text = answerToken(i, generation.hash);
        auto finish = i + 1 == generation.endToken ? "\"length\"" : "null";
        auto choice = isChat ? fmt::format(R"("delta":{{"content":"{}"}})", text) : fmt::format(R"("text":"{}")", text);
        events += fmt::format("data: {{\"choices\":[{{\"index\":0,{},\"finish_reason\":{}}}]}}\n\n", choice, finish);
    }
    return events;
}

std::string wholeAnswerJson(const Generation& generation, bool isChat)
{
    auto text = answerText(generation.firstToken, generation.endToken, generation.hash);
    json::object choice { { "index", 0 }, { "finish_reason", "length" } };
    if (isChat)
        choice["message"] = json::object { { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    auto made = generation.endToken - generation.firstToken;
    json::object usage {
        { "prompt_tokens", generation.promptTokens },
        { "completion_tokens", made },
        { "total_tokens", generation.promptTokens + made },
    };
    json::object answer { { "choices", json::array { choice } }, { "usage", usage } };
    return json::serialize(answer);
}

} // namespace swiftloft::standin
