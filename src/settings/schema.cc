#include <swiftloft/settings/schema.h>

#include "src/settings/text.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <unordered_map>

namespace swiftloft::settings {

namespace {

constexpr KindSet anyNamed { NodeKind::Service, NodeKind::Organisation, NodeKind::Group, NodeKind::DataCentre };
constexpr KindSet serviceOnly { NodeKind::Service };
constexpr KindSet serviceKeys { NodeKind::Defaults, NodeKind::Service };
constexpr KindSet organisationOnly { NodeKind::Organisation };
constexpr KindSet organisationKeys { NodeKind::Defaults, NodeKind::Service, NodeKind::Organisation, NodeKind::OrganisationAtService };
constexpr KindSet groupOnly { NodeKind::Group };
constexpr KindSet groupKeys { NodeKind::Defaults, NodeKind::Service, NodeKind::Group };
constexpr KindSet dataCentreOnly { NodeKind::DataCentre };
constexpr KindSet dataCentreKeys { NodeKind::Defaults, NodeKind::DataCentre };
constexpr KindSet defaultsOnly { NodeKind::Defaults };

constexpr KeyInfo keys[] = {
#define SWIFTLOFT_SETTING(id, name, type, kinds, presence, scope, range, defaultText, text) \
    { Key::id, name, ValueType::type, kinds, Presence::presence, Scope::scope, range, defaultText, text },
#include <swiftloft/settings/keys.def>
#undef SWIFTLOFT_SETTING
};

struct Bounds {
    double low;
    double high;
};

/// What the texts of a `KeyInfo` say, read once.
struct Derived {
    std::optional<Bounds> bounds;
    std::optional<Value> defaultValue;
};

Derived derive(const KeyInfo& info)
{
    Derived derived;
    auto dots = info.range.find("..");
    if (dots != std::string_view::npos) {
        auto low = parseValue(info.type, info.range.substr(0, dots)).value();
        auto high = parseValue(info.type, info.range.substr(dots + 2)).value();
        derived.bounds = Bounds { magnitude(low), magnitude(high) };
    }
    if (!info.defaultText.empty())
        derived.defaultValue = parseValue(info.type, info.defaultText).value();
    return derived;
}

const Derived& derivedOf(Key key)
{
    static const auto table = [] {
        std::vector<Derived> rows;
        for (auto& info : keys)
            rows.push_back(derive(info));
        return rows;
    }();
    return table[static_cast<std::size_t>(key)];
}

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t { 0 });
    for (std::size_t i = 1; i <= a.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            auto replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ row[j] + 1, row[j - 1] + 1, replaced });
        }
    }
    return row[b.size()];
}

std::string sectionsOf(const KeyInfo& info)
{
    std::string text;
    for (auto kind : { NodeKind::Defaults, NodeKind::Service, NodeKind::Organisation, NodeKind::OrganisationAtService, NodeKind::Group, NodeKind::DataCentre }) {
        if (info.kinds.contains(kind))
            text += fmt::format("{}{}", text.empty() ? "" : ", ", toString(kind));
    }
    return text;
}

std::string defaultColumn(const KeyInfo& info)
{
    if (info.presence == Presence::Required)
        return "must be set";
    return info.defaultText.empty() ? "not set" : std::string(info.defaultText);
}

std::string rangeColumn(const KeyInfo& info)
{
    std::string text(info.range);
    for (std::size_t it = 0; (it = text.find('|', it)) != std::string::npos; it += 4)
        text.replace(it, 1, " or ");
    auto dots = text.find("..");
    if (dots != std::string::npos)
        text.replace(dots, 2, " to ");
    return text;
}

} // namespace

std::span<const KeyInfo> schema()
{
    return keys;
}

const KeyInfo& infoOf(Key key)
{
    return keys[static_cast<std::size_t>(key)];
}

std::optional<Key> keyFromName(std::string_view name)
{
    static const auto byName = [] {
        std::unordered_map<std::string_view, Key> map;
        for (auto& info : keys)
            map.emplace(info.name, info.key);
        return map;
    }();
    auto it = byName.find(name);
    if (it == byName.end())
        return std::nullopt;
    return it->second;
}

const std::optional<Value>& defaultOf(Key key)
{
    return derivedOf(key).defaultValue;
}

std::string_view nearestKeyName(std::string_view name, NodeKind kind)
{
    auto best = std::max<std::size_t>(2, name.size() / 3) + 1;
    std::string_view nearest;
    for (auto& info : keys) {
        if (!info.kinds.contains(kind))
            continue;
        auto distance = editDistance(name, info.name);
        if (distance < best) {
            best = distance;
            nearest = info.name;
        }
    }
    return nearest;
}

Result<Value> parseValueOf(Key key, std::string_view text)
{
    auto& info = infoOf(key);
    if (info.type == ValueType::Choice) {
        auto words = internal::split(info.range, '|');
        if (std::find(words.begin(), words.end(), text) == words.end())
            return Error { ErrorCode::MalformedInput, rangeColumn(info) };
    }
    auto value = parseValue(info.type, text);
    if (!value)
        return value;
    auto& bounds = derivedOf(key).bounds;
    if (bounds && (magnitude(*value) < bounds->low || magnitude(*value) > bounds->high))
        return Error { ErrorCode::OutOfRange, rangeColumn(info) };
    return value;
}

std::vector<std::string> referenceRows()
{
    std::vector<std::string> rows;
    for (auto& info : keys) {
        rows.push_back(fmt::format("| `{}` | {} | {} | {} | {} | {} |", info.name, toString(info.type), sectionsOf(info),
            rangeColumn(info), defaultColumn(info), info.text));
    }
    return rows;
}

} // namespace swiftloft::settings
