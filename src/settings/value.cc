#include <swiftloft/settings/value.h>

#include <swiftloft/settings/node-id.h>

#include "src/settings/text.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <span>

namespace swiftloft::settings {

namespace {

using internal::split;
using internal::trim;
using std::chrono::minutes;

constexpr auto minutesOfDay = 24 * 60;
constexpr auto maxUtcOffset = minutes(14 * 60);
constexpr std::size_t digestLength = 64;
/// Bounds every quantity so that its product with a unit stays exact in a double and inside 64 bits.
constexpr double maxMagnitude = 9e15;

struct Unit {
    std::string_view name;
    double factor;
};

constexpr std::array durationUnits { Unit { "us", 1 }, Unit { "ms", 1e3 }, Unit { "s", 1e6 }, Unit { "min", 60e6 }, Unit { "h", 3600e6 } };
constexpr std::array byteUnits { Unit { "B", 1 }, Unit { "KB", 1e3 }, Unit { "MB", 1e6 }, Unit { "GB", 1e9 }, Unit { "KiB", 1024 }, Unit { "MiB", 1048576 }, Unit { "GiB", 1073741824 } };
constexpr std::array plainUnits { Unit { "", 1 } };
constexpr std::array percentUnits { Unit { "%", 0.01 } };
constexpr std::array rateUnits { Unit { "/s", 1 } };
constexpr std::array<std::string_view, 9> httpMethods { "CONNECT", "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT", "TRACE" };

Error expected(std::string text)
{
    return { ErrorCode::MalformedInput, std::move(text) };
}

/// Digits with at most one point; no sign, no exponent.
std::optional<double> decimal(std::string_view digits)
{
    if (digits.empty() || digits.find_first_not_of("0123456789.") != std::string_view::npos)
        return std::nullopt;
    double number = 0;
    auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), number, std::chars_format::fixed);
    if (ec != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return number;
}

/// A number with one of `units`, in the base unit.
std::optional<double> quantity(std::string_view text, std::span<const Unit> units)
{
    auto end = text.find_first_not_of("0123456789.");
    auto number = decimal(text.substr(0, end));
    if (!number)
        return std::nullopt;
    auto unit = end == std::string_view::npos ? std::string_view() : trim(text.substr(end));
    for (auto& it : units) {
        if (it.name == unit && *number * it.factor <= maxMagnitude)
            return *number * it.factor;
    }
    return std::nullopt;
}

bool isWhole(double number)
{
    return number == std::floor(number);
}

Result<Value> parseDuration(std::string_view text)
{
    auto it = quantity(text, durationUnits);
    if (!it || !isWhole(*it))
        return expected("a duration of whole microseconds with its unit (us, ms, s, min or h), such as 1500ms");
    return Value(microseconds(static_cast<std::int64_t>(*it)));
}

Result<Value> parseBytes(std::string_view text)
{
    auto it = quantity(text, byteUnits);
    if (!it || !isWhole(*it))
        return expected("a size with its unit (B, KB, MB, GB, KiB, MiB or GiB), such as 256KiB");
    return Value(Bytes(static_cast<std::uint64_t>(*it)));
}

Result<Value> parseCount(std::string_view text)
{
    auto it = quantity(text, plainUnits);
    if (!it || !isWhole(*it) || text.find('.') != std::string_view::npos)
        return expected("a whole number without unit");
    return Value(static_cast<std::int64_t>(*it));
}

Result<Value> parseReal(std::string_view text, std::span<const Unit> units, const char* form)
{
    auto it = quantity(text, units);
    if (!it)
        return expected(form);
    return Value(*it);
}

Result<Value> parseDigest(std::string_view text)
{
    if (text.size() != digestLength || text.find_first_not_of("0123456789abcdef") != std::string_view::npos)
        return expected("64 lower-case hexadecimal digits (a SHA-256 digest, never the key itself)");
    return Value(std::string(text));
}

Result<Value> parseMethods(std::string_view text)
{
    Methods methods;
    if (text == "none")
        return Value(methods);
    for (auto method : split(text, ',')) {
        if (std::find(httpMethods.begin(), httpMethods.end(), method) == httpMethods.end())
            return expected("HTTP methods in capitals with commas between them, such as GET, HEAD, or none");
        methods.emplace_back(method);
    }
    std::sort(methods.begin(), methods.end());
    methods.erase(std::unique(methods.begin(), methods.end()), methods.end());
    return Value(std::move(methods));
}

std::optional<minutes> timeOfDay(std::string_view text)
{
    if (text.size() != 5 || text[2] != ':')
        return std::nullopt;
    auto hours = decimal(text.substr(0, 2));
    auto mins = decimal(text.substr(3));
    if (!hours || !mins || text.find('.') != std::string_view::npos || *hours > 23 || *mins > 59)
        return std::nullopt;
    return minutes(static_cast<int>(*hours) * 60 + static_cast<int>(*mins));
}

std::optional<QuietHours::Range> timeRange(std::string_view text)
{
    auto dash = text.find('-');
    if (dash == std::string_view::npos)
        return std::nullopt;
    auto from = timeOfDay(text.substr(0, dash));
    auto to = timeOfDay(text.substr(dash + 1));
    if (!from || !to || *from == *to)
        return std::nullopt;
    return QuietHours::Range { *from, *to };
}

std::optional<minutes> utcOffset(std::string_view text)
{
    if (text.empty() || (text[0] != '+' && text[0] != '-'))
        return std::nullopt;
    auto offset = timeOfDay(text.substr(1));
    if (!offset || *offset > maxUtcOffset)
        return std::nullopt;
    return text[0] == '-' ? -*offset : *offset;
}

Result<Value> parseQuietHours(std::string_view text)
{
    auto wrong = expected("times of day and their offset from UTC, such as 05:30-08:30, 17:00-18:00 +05:30, or none");
    QuietHours hours;
    if (text == "none")
        return Value(hours);
    auto space = text.find_last_of(" \t");
    if (space == std::string_view::npos)
        return wrong;
    auto offset = utcOffset(text.substr(space + 1));
    if (!offset)
        return wrong;
    hours.utcOffset = *offset;
    for (auto piece : split(trim(text.substr(0, space)), ',')) {
        auto range = timeRange(piece);
        if (!range)
            return wrong;
        hours.ranges.push_back(*range);
    }
    return Value(std::move(hours));
}

std::string formatTimeOfDay(minutes time)
{
    return fmt::format("{:02}:{:02}", time.count() / 60, time.count() % 60);
}

std::string formatQuietHours(const QuietHours& hours)
{
    if (hours.ranges.empty())
        return "none";
    std::vector<std::string> pieces;
    pieces.reserve(hours.ranges.size());
    for (auto& range : hours.ranges)
        pieces.push_back(formatTimeOfDay(range.from) + "-" + formatTimeOfDay(range.to));
    auto sign = hours.utcOffset < minutes(0) ? '-' : '+';
    return fmt::format("{} {}{}", fmt::join(pieces, ", "), sign, formatTimeOfDay(std::chrono::abs(hours.utcOffset)));
}

/// In the largest of `units` that divides the number evenly.
std::string formatInUnits(std::uint64_t number, std::initializer_list<Unit> units)
{
    for (auto& it : units) {
        auto factor = static_cast<std::uint64_t>(it.factor);
        if (number >= factor && number % factor == 0)
            return fmt::format("{}{}", number / factor, it.name);
    }
    return fmt::format("{}{}", number, units.begin()[units.size() - 1].name);
}

std::string formatDuration(microseconds time)
{
    if (time.count() == 0)
        return "0s";
    return formatInUnits(static_cast<std::uint64_t>(time.count()), { { "h", 3600e6 }, { "min", 60e6 }, { "s", 1e6 }, { "ms", 1e3 }, { "us", 1 } });
}

std::string formatBytes(Bytes size)
{
    return formatInUnits(size.value(), { { "GiB", 1073741824 }, { "MiB", 1048576 }, { "KiB", 1024 }, { "B", 1 } });
}

} // namespace

std::string_view toString(ValueType type)
{
    constexpr std::array<std::string_view, 12> names { "yes or no", "whole number", "number", "percent", "rate (/s)", "duration", "size", "choice", "name", "SHA-256", "HTTP methods", "times of day" };
    return names[static_cast<std::size_t>(type)];
}

bool QuietHours::contains(std::chrono::system_clock::time_point time) const
{
    auto local = std::chrono::floor<minutes>(time.time_since_epoch()) + utcOffset;
    auto ofDay = minutes(((local.count() % minutesOfDay) + minutesOfDay) % minutesOfDay);
    return std::any_of(ranges.begin(), ranges.end(), [&](const Range& range) {
        if (range.from < range.to)
            return range.from <= ofDay && ofDay < range.to;
        return range.from <= ofDay || ofDay < range.to;
    });
}

Result<Value> parseValue(ValueType type, std::string_view text)
{
    switch (type) {
    case ValueType::Flag:
        if (text != "yes" && text != "no")
            return expected("yes or no");
        return Value(text == "yes");
    case ValueType::Count:
        return parseCount(text);
    case ValueType::Number:
        return parseReal(text, plainUnits, "a number without unit, such as 1.5");
    case ValueType::Percent:
        return parseReal(text, percentUnits, "a number and %, such as 99.9%");
    case ValueType::Rate:
        return parseReal(text, rateUnits, "a number and /s, such as 50/s");
    case ValueType::Duration:
        return parseDuration(text);
    case ValueType::ByteSize:
        return parseBytes(text);
    case ValueType::Choice:
        return Value(std::string(text));
    case ValueType::Name:
        if (!isValidName(text))
            return expected("a name of 1 to 63 of a-z, 0-9 and '-', not beginning or ending with '-'");
        return Value(std::string(text));
    case ValueType::Digest:
        return parseDigest(text);
    case ValueType::Methods:
        return parseMethods(text);
    case ValueType::QuietHours:
        return parseQuietHours(text);
    }
    return expected("a known type");
}

std::string formatValue(ValueType type, const Value& value)
{
    switch (type) {
    case ValueType::Flag:
        return std::get<bool>(value) ? "yes" : "no";
    case ValueType::Count:
        return fmt::format("{}", std::get<std::int64_t>(value));
    case ValueType::Number:
        return fmt::format("{}", std::get<double>(value));
    case ValueType::Percent:
        // Twelve digits hide the last bit that the division by 100 cost.
        return fmt::format("{:.12g}%", std::get<double>(value) * 100);
    case ValueType::Rate:
        return fmt::format("{}/s", std::get<double>(value));
    case ValueType::Duration:
        return formatDuration(std::get<microseconds>(value));
    case ValueType::ByteSize:
        return formatBytes(std::get<Bytes>(value));
    case ValueType::Methods: {
        auto& methods = std::get<Methods>(value);
        return methods.empty() ? "none" : fmt::format("{}", fmt::join(methods, ", "));
    }
    case ValueType::QuietHours:
        return formatQuietHours(std::get<QuietHours>(value));
    case ValueType::Choice:
    case ValueType::Name:
    case ValueType::Digest:
        return std::get<std::string>(value);
    }
    return {};
}

double magnitude(const Value& value)
{
    if (auto it = std::get_if<std::int64_t>(&value))
        return static_cast<double>(*it);
    if (auto it = std::get_if<double>(&value))
        return *it;
    if (auto it = std::get_if<microseconds>(&value))
        return static_cast<double>(it->count()) / 1e6;
    if (auto it = std::get_if<Bytes>(&value))
        return static_cast<double>(it->value());
    return 0;
}

} // namespace swiftloft::settings
