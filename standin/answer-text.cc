#include "standin/answer-text.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace swiftloft::standin {

namespace {

constexpr std::int64_t charactersPerToken = 4;

} // namespace

std::string promptHash(std::string_view prompt)
{
    return fmt::format("{:08x}", static_cast<std::uint32_t>(XXH64(prompt.data(), prompt.size(), 0)));
}

std::string answerToken(std::int64_t index, std::string_view hash)
{
    return fmt::format("t{}-{} ", index, hash);
}

std::string answerText(std::int64_t begin, std::int64_t end, std::string_view hash)
{
    std::string text;
    for (auto i = begin; i < end; ++i)
        text += answerToken(i, hash);
    return text;
}

std::string chatMessageText(std::string_view role, std::string_view content)
{
    return fmt::format("{}: {}\n", role, content);
}

std::int64_t tokenCount(std::string_view text)
{
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(text.size()) / charactersPerToken);
}

} // namespace swiftloft::standin
