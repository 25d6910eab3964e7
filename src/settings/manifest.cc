#include <swiftloft/settings/manifest.h>

#include <swiftloft/settings/value.h>

#include "src/settings/line-reader.h"
#include "src/settings/text.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace swiftloft::settings {

namespace {

constexpr std::string_view manifestHeading = "manifest";
constexpr std::string_view partWord = "part ";
constexpr std::string_view currentFormat = "1";

/// Builds the parts from lines; an entry is known complete when the next section or the end is reached.
class Reader {
public:
    explicit Reader(std::string file)
        : m_file(std::move(file))
    {
    }

    void takeSection(std::uint32_t line, std::string_view heading)
    {
        finishPart();
        m_isPart = heading.starts_with(partWord);
        m_line = line;
        if (heading == manifestHeading && !m_hasHeading)
            m_hasHeading = true;
        else if (!m_isPart)
            add(ProblemCode::BadSection, line, {}, heading, "one [manifest], then a [part NAME] for each part");
        else
            beginPart(heading.substr(partWord.size()));
    }

    void takeEntry(std::uint32_t line, std::string_view key, std::string_view value)
    {
        if (!m_isPart)
            takeHeadingEntry(line, key, value);
        else if (key == "sha256")
            takeDigest(line, key, value);
        else if (key == "bytes")
            takeSize(line, key, value);
        else
            add(ProblemCode::UnknownKey, line, key, value, "sha256 or bytes");
    }

    void add(ProblemCode code, std::uint32_t line, std::string_view key, std::string_view found, std::string expected)
    {
        auto node = m_isPart ? fmt::format("part {}", m_part.name) : std::string();
        m_problems.push_back({ code, m_file, line, node, std::string(key), fmt::format("\"{}\"", found), std::move(expected) });
    }

    std::vector<Part> finish()
    {
        finishPart();
        m_isPart = false;
        if (!m_hasFormat)
            add(ProblemCode::MissingKey, 1, "format", "", "format = 1 in [manifest]");
        if (m_parts.empty())
            add(ProblemCode::MissingKey, 1, {}, "", "at least one [part NAME]");
        if (m_parts.size() > Manifest::maxParts)
            add(ProblemCode::OutOfRange, 1, {}, fmt::format("{} parts", m_parts.size()), fmt::format("at most {}", Manifest::maxParts));
        return std::move(m_parts);
    }

    std::vector<Problem> takeProblems() { return std::move(m_problems); }

private:
    void beginPart(std::string_view name)
    {
        m_part = { std::string(name), {}, {} };
        if (!isValidName(name))
            add(ProblemCode::BadSection, m_line, {}, name, "a name of 1 to 63 of a-z, 0-9 and '-'");
        auto isKnown = std::any_of(m_parts.begin(), m_parts.end(), [&](auto& part) { return part.name == name; });
        if (isKnown)
            add(ProblemCode::DuplicateSection, m_line, {}, name, "each part once");
    }

    void finishPart()
    {
        if (!m_isPart)
            return;
        if (m_part.digest.value().empty())
            add(ProblemCode::MissingKey, m_line, "sha256", "", "the digest of the part");
        if (m_part.size == Bytes(0))
            add(ProblemCode::MissingKey, m_line, "bytes", "", "the size of the part");
        m_parts.push_back(m_part);
    }

    void takeHeadingEntry(std::uint32_t line, std::string_view key, std::string_view value)
    {
        if (m_hasHeading && key == "format" && value == currentFormat && !m_hasFormat)
            m_hasFormat = true;
        else
            add(ProblemCode::BadValue, line, key, value, "format = 1, once, in [manifest]");
    }

    void takeDigest(std::uint32_t line, std::string_view key, std::string_view value)
    {
        auto digest = parseValue(ValueType::Digest, value);
        if (!digest || !m_part.digest.value().empty())
            add(ProblemCode::BadValue, line, key, value, "64 lower-case hexadecimal digits, once");
        else
            m_part.digest = Digest(std::get<std::string>(*digest));
    }

    void takeSize(std::uint32_t line, std::string_view key, std::string_view value)
    {
        auto size = parseValue(ValueType::Count, value);
        auto isInRange = size && magnitude(*size) >= 1 && magnitude(*size) <= static_cast<double>(Manifest::maxPartSize.value());
        if (!isInRange || m_part.size != Bytes(0))
            add(ProblemCode::OutOfRange, line, key, value, fmt::format("1 to {}, once", Manifest::maxPartSize.value()));
        else
            m_part.size = Bytes(static_cast<std::uint64_t>(std::get<std::int64_t>(*size)));
    }

    std::string m_file;
    std::vector<Part> m_parts;
    std::vector<Problem> m_problems;
    Part m_part;
    std::uint32_t m_line { 0 };
    bool m_isPart { false };
    bool m_hasHeading { false };
    bool m_hasFormat { false };
};

} // namespace

ParsedManifest Manifest::parse(std::string_view text, std::string file)
{
    Reader reader(std::move(file));
    internal::LineHandler handler {
        [&](auto line, auto heading) { reader.takeSection(line, heading); },
        [&](auto line, auto key, auto value) { reader.takeEntry(line, key, value); },
        [&](auto line, auto, bool) { reader.add(ProblemCode::BadLine, line, {}, "a line that can't be read", "[SECTION] or KEY = VALUE"); },
    };
    internal::readLines(text, handler);
    Manifest manifest;
    manifest.m_parts = reader.finish();
    auto problems = reader.takeProblems();
    if (!problems.empty())
        return { std::nullopt, std::move(problems) };
    return { std::move(manifest), {} };
}

bool Manifest::isManifest(std::string_view text)
{
    while (!text.empty()) {
        auto end = text.find('\n');
        auto line = internal::trim(text.substr(0, end));
        if (!line.empty() && line[0] != '#' && line[0] != ';')
            return line == "[manifest]";
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return false;
}

std::string Manifest::format(const std::vector<Part>& parts)
{
    std::string text = "[manifest]\nformat = 1\n";
    for (auto& part : parts)
        text += fmt::format("\n[part {}]\nsha256 = {}\nbytes = {}\n", part.name, part.digest.value(), part.size.value());
    return text;
}

} // namespace swiftloft::settings
