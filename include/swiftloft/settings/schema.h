#pragma once

#include <swiftloft/settings/node-id.h>
#include <swiftloft/settings/value.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>

/// The one list of settings keys, from which parsing, validation and the reference page follow.
namespace swiftloft::settings {

enum class Key : std::uint8_t {
#define SWIFTLOFT_SETTING(id, name, type, kinds, presence, scope, range, defaultText, text) id,
#include <swiftloft/settings/keys.def>
#undef SWIFTLOFT_SETTING
};

/// A set of section kinds.
class KindSet {
public:
    constexpr KindSet(std::initializer_list<NodeKind> kinds)
    {
        for (auto kind : kinds)
            m_bits |= 1u << static_cast<unsigned>(kind);
    }

    constexpr bool contains(NodeKind kind) const { return m_bits & (1u << static_cast<unsigned>(kind)); }

private:
    unsigned m_bits { 0 };
};

enum class Presence : std::uint8_t {
    /// Falls back to the schema's default.
    HasDefault,
    /// Each node that is no template must have or inherit it.
    Required,
    Optional,
};

enum class Scope : std::uint8_t {
    Inherited,
    /// Holds for the node it stands at only.
    Own,
};

struct KeyInfo {
    Key key;
    std::string_view name;
    ValueType type;
    /// Sections in which the key may stand.
    KindSet kinds;
    Presence presence;
    Scope scope;
    /// "LOW..HIGH", or the words of a choice with '|' between them; empty for no further limit.
    std::string_view range;
    /// As it would be written in a tree; empty when there is none.
    std::string_view defaultText;
    std::string_view text;
};

/// All keys, in the order of `Key`.
std::span<const KeyInfo> schema();

const KeyInfo& infoOf(Key key);
std::optional<Key> keyFromName(std::string_view name);

/// The built-in default, or nothing for a key that has none.
const std::optional<Value>& defaultOf(Key key);

/// The key whose name is most like `name`, or an empty text when none is near.
std::string_view nearestKeyName(std::string_view name, NodeKind kind);

/// Reads a value of `key` and checks its range. The error is `MalformedInput` or `OutOfRange`; its message says what
/// was expected.
Result<Value> parseValueOf(Key key, std::string_view text);

/// The rows of the table in docs/REFERENCE.md.
std::vector<std::string> referenceRows();

} // namespace swiftloft::settings
