#include "src/replay/trace.h"

#include <fmt/format.h>

#include <array>

namespace swiftloft::replay {

namespace {

constexpr std::array<std::string_view, 64> words {
    "pavement", "permit", "ward", "notice", "awning", "stall", "kerb", "letter", "renewal", "inspection", "slot", "fee",
    "drawing", "plan", "table", "chair", "hour", "street", "number", "owner", "route", "kitchen", "tiffin", "van",
    "caterer", "wedding", "hall", "drop", "window", "driver", "reroute", "late", "stop", "sheet", "bridge", "market",
    "gate", "crate", "lunch", "morning", "delay", "queue", "order", "address", "signature", "copy", "form", "clerk",
    "office", "district", "bench", "lamp", "sign", "wall", "corner", "lane", "yard", "depot", "load", "spice", "rice",
    "flour", "ghee", "cup"
};

std::uint64_t seedOf(std::string_view id)
{
    std::uint64_t hash = 14695981039346656037ull;
    for (unsigned char c : id)
        hash = (hash ^ c) * 1099511628211ull;
    return hash;
}

std::string partText(std::string_view id, std::size_t characters)
{
    auto text = fmt::format("[{}]", id);
    auto state = seedOf(id);
    while (text.size() < characters) {
        state = state * 6364136223846793005ull + 1442695040888963407ull;
        text += ' ';
        text += words[state >> 58];
    }
    return text;
}

} // namespace

std::string promptText(const PromptSpec& spec)
{
    return partText(spec.prefixId, spec.prefixCharacters) + ' ' + partText(spec.ownId, spec.ownCharacters);
}

std::string_view toString(Measure measure)
{
    switch (measure) {
    case Measure::Lost:
        return "lost";
    case Measure::Doubled:
        return "doubled";
    case Measure::FalseNotRun:
        return "false_not_run";
    case Measure::Unexpected:
        return "unexpected";
    case Measure::AnsweredShare:
        return "answered_share";
    case Measure::RefusedShare:
        return "refused_share";
    }
    return "unknown";
}

} // namespace swiftloft::replay
