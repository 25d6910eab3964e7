#pragma once

#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace swiftloft::settings {

enum class ValueType : std::uint8_t {
    /// `yes` or `no`.
    Flag,
    /// A whole number without unit.
    Count,
    /// A decimal number without unit.
    Number,
    /// A decimal number and `%`; held as a fraction of 1.
    Percent,
    /// A decimal number and `/s`.
    Rate,
    /// A decimal number and `us`, `ms`, `s`, `min` or `h`.
    Duration,
    /// A whole number and `B`, `KB`, `MB`, `GB`, `KiB`, `MiB` or `GiB`.
    ByteSize,
    /// One of the words the key's range lists.
    Choice,
    /// A name as sections use them.
    Name,
    /// 64 lower-case hexadecimal digits.
    Digest,
    /// HTTP methods with commas between them, or `none`.
    Methods,
    /// `HH:MM-HH:MM, HH:MM-HH:MM +HH:MM`: ranges and the offset from UTC they are meant in, or `none`.
    QuietHours,
};

std::string_view toString(ValueType type);

/// Times of day, each from a minute inclusive to a minute exclusive; `from` after `to` passes midnight.
struct QuietHours {
    struct Range {
        std::chrono::minutes from;
        std::chrono::minutes to;
        friend bool operator==(const Range&, const Range&) = default;
    };

    std::vector<Range> ranges;
    /// Local time minus UTC.
    std::chrono::minutes utcOffset { 0 };

    bool contains(std::chrono::system_clock::time_point time) const;

    friend bool operator==(const QuietHours&, const QuietHours&) = default;
};

using Methods = std::vector<std::string>;

/// A value of any type: Flag as bool, Count as int64, Number, Percent and Rate as double, Choice, Name and Digest as
/// string.
using Value = std::variant<bool, std::int64_t, double, microseconds, Bytes, std::string, Methods, QuietHours>;

/// Reads `text` as a value of `type` (not `Choice`); ranges are the schema's to check. The error's message says what
/// was expected.
Result<Value> parseValue(ValueType type, std::string_view text);

/// The canonical text of a value; reading it back gives the same value.
std::string formatValue(ValueType type, const Value& value);

/// The size of a number, duration or byte size in its base unit (1, seconds, bytes); 0 for other types.
double magnitude(const Value& value);

} // namespace swiftloft::settings
