#include "src/replay/trace.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <functional>

namespace swiftloft::replay {

namespace {

constexpr std::string_view firstLine = "swiftloft-trace 1";
constexpr std::string_view absent = "-";
constexpr std::int64_t longestTraceMs = 24ll * 3600 * 1000;
constexpr std::int64_t longestAllowedMs = 3600ll * 1000;
constexpr std::int64_t mostTokens = 100'000;
constexpr std::int64_t mostCharacters = 1'000'000;
constexpr std::size_t longestName = 128;
constexpr std::size_t longestPath = 2048;
constexpr std::size_t columns = 13;

constexpr Measure measures[] = {
    Measure::Lost, Measure::Doubled, Measure::FalseNotRun, Measure::Unexpected, Measure::AnsweredShare, Measure::RefusedShare
};

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (;;) {
        auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix(end + 1);
    }
}

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

/// Reads the columns of one line in order; the first that does not fit throws.
class LineReader {
public:
    LineReader(std::string_view line, std::size_t number)
        : m_number(number)
        , m_parts(split(line, ' '))
    {
    }

    std::size_t size() const { return m_parts.size(); }

    [[noreturn]] void fail(std::string_view column, std::string_view expected, std::string_view found) const
    {
        throw Exception({ ErrorCode::MalformedInput, fmt::format("line {}: {}: expected {}, found '{}'", m_number, column, expected, found) });
    }

    std::string_view next(std::string_view column)
    {
        if (m_at == m_parts.size())
            fail(column, "a value", "end of line");
        return m_parts[m_at++];
    }

    std::int64_t number(std::string_view column, std::int64_t least, std::int64_t most)
    {
        return number(column, next(column), least, most);
    }

    std::int64_t number(std::string_view column, std::string_view text, std::int64_t least, std::int64_t most) const
    {
        std::int64_t value = 0;
        auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || value < least || value > most)
            fail(column, fmt::format("a number from {} to {}", least, most), text);
        return value;
    }

    std::string name(std::string_view column) { return name(column, next(column)); }

    std::string name(std::string_view column, std::string_view text) const
    {
        if (text.empty() || text.size() > longestName || !std::all_of(text.begin(), text.end(), isNameCharacter))
            fail(column, "a name of letters, digits, '-', '_' and '.'", text);
        return std::string(text);
    }

    /// Index of the column's word in `choices`.
    std::size_t choice(std::string_view column, std::initializer_list<std::string_view> choices)
    {
        auto text = next(column);
        auto it = std::find(choices.begin(), choices.end(), text);
        if (it == choices.end())
            fail(column, fmt::format("one of {}", fmt::join(choices, ", ")), text);
        return static_cast<std::size_t>(it - choices.begin());
    }

    std::string path(std::string_view column)
    {
        auto text = next(column);
        auto isPlain = [](char c) { return c > ' ' && c < 0x7f; };
        if (!text.starts_with('/') || text.size() > longestPath || !std::all_of(text.begin(), text.end(), isPlain))
            fail(column, "a path", text);
        return std::string(text);
    }

    std::optional<PromptSpec> prompt(std::string_view column)
    {
        auto text = next(column);
        if (text == absent)
            return std::nullopt;
        auto parts = split(text, ':');
        if (parts.size() != 4)
            fail(column, "PREFIX:CHARACTERS:OWN:CHARACTERS or -", text);
        PromptSpec spec;
        spec.prefixId = name(column, parts[0]);
        spec.prefixCharacters = static_cast<std::size_t>(number(column, parts[1], 0, mostCharacters));
        spec.ownId = name(column, parts[2]);
        spec.ownCharacters = static_cast<std::size_t>(number(column, parts[3], 0, mostCharacters));
        return spec;
    }

private:
    std::size_t m_number;
    std::size_t m_at { 0 };
    std::vector<std::string_view> m_parts;
};

StatedOutcome readOutcome(LineReader& line)
{
    line.next("outcome");
    if (line.size() != 4)
        line.fail("outcome", "outcome MEASURE <=|>= VALUE", fmt::format("{} words", line.size()));
    auto measure = measures[line.choice("measure", { "lost", "doubled", "false_not_run", "unexpected", "answered_share", "refused_share" })];
    auto bound = line.choice("bound", { "<=", ">=" }) == 0 ? Bound::AtMost : Bound::AtLeast;
    auto text = line.next("value");
    double value = 0;
    auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || !(value >= 0 && value <= 1e9))
        line.fail("value", "a number from 0 to 1e9", text);
    return { measure, bound, value };
}

TraceRequest readRequest(LineReader& line)
{
    if (line.size() != columns)
        line.fail("request", fmt::format("{} columns", columns), fmt::format("{} columns", line.size()));
    TraceRequest request;
    request.sendAt = milliseconds(line.number("offset_ms", 0, longestTraceMs));
    request.service = ServiceName(line.name("service"));
    request.organisation = OrganisationName(line.name("organisation"));
    request.kind = line.choice("kind", { "model", "plain" }) == 0 ? BackendKind::Model : BackendKind::Plain;
    request.method = line.next("method");
    if (request.method != "GET" && request.method != "POST" && request.method != "PUT" && request.method != "PATCH" && request.method != "DELETE")
        line.fail("method", "GET, POST, PUT, PATCH or DELETE", request.method);
    request.path = line.path("path");
    request.prompt = line.prompt("prompt");
    request.maxTokens = line.number("max_tokens", 0, mostTokens);
    request.allowed = milliseconds(line.number("deadline_ms", 1, longestAllowedMs));
    request.isRepeatable = line.choice("repeatable", { "no", "yes" }) == 1;
    request.isStream = line.choice("stream", { "no", "yes" }) == 1;
    auto key = line.next("key");
    request.key = RequestKey(key == absent ? "" : line.name("key", key));
    request.expected = static_cast<ExpectedOutcome>(line.choice("expect", { "answered", "refused", "honest" }));
    if (request.kind == BackendKind::Model && (!request.prompt || request.maxTokens == 0))
        line.fail("prompt", "a prompt and at least one token for a model", request.prompt ? "0 tokens" : "-");
    return request;
}

std::string formatRequest(const TraceRequest& request)
{
    auto prompt = std::string(absent);
    if (request.prompt)
        prompt = fmt::format("{}:{}:{}:{}", request.prompt->prefixId, request.prompt->prefixCharacters, request.prompt->ownId, request.prompt->ownCharacters);
    constexpr std::string_view expectations[] = { "answered", "refused", "honest" };
    return fmt::format("{} {} {} {} {} {} {} {} {} {} {} {} {}\n", request.sendAt.count(), request.service.value(),
        request.organisation.value(), request.kind == BackendKind::Model ? "model" : "plain", request.method, request.path, prompt,
        request.maxTokens, request.allowed.count(), request.isRepeatable ? "yes" : "no", request.isStream ? "yes" : "no",
        request.key.value().empty() ? absent : request.key.value(), expectations[static_cast<std::size_t>(request.expected)]);
}

Trace readTrace(std::string_view text)
{
    Trace trace;
    std::size_t number = 0;
    for (auto line : split(text, '\n')) {
        ++number;
        LineReader reader(line, number);
        if (number == 1) {
            if (line != firstLine)
                reader.fail("first line", fmt::format("'{}'", firstLine), line.substr(0, longestName));
            continue;
        }
        if (line.empty() || line.starts_with('#'))
            continue;
        if (line.starts_with("outcome ")) {
            trace.outcomes.push_back(readOutcome(reader));
            continue;
        }
        auto request = readRequest(reader);
        if (!trace.requests.empty() && request.sendAt < trace.requests.back().sendAt)
            reader.fail("offset_ms", "no time before the line above", std::to_string(request.sendAt.count()));
        trace.requests.push_back(std::move(request));
    }
    return trace;
}

} // namespace

Result<Trace> parseTrace(std::string_view text)
{
    try {
        return readTrace(text);
    } catch (const Exception& exception) {
        return exception.error();
    }
}

std::string formatTrace(const Trace& trace)
{
    auto text = fmt::format("{}\n", firstLine);
    for (auto& outcome : trace.outcomes)
        text += fmt::format("outcome {} {} {}\n", toString(outcome.measure), outcome.bound == Bound::AtMost ? "<=" : ">=", outcome.value);
    text += "# offset_ms service organisation kind method path prompt max_tokens deadline_ms repeatable stream key expect\n";
    for (auto& request : trace.requests)
        text += formatRequest(request);
    return text;
}

} // namespace swiftloft::replay
