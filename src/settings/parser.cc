#include "src/settings/parser.h"

#include "src/settings/line-reader.h"

#include <fmt/format.h>

#include <algorithm>

namespace swiftloft::settings::internal {

namespace {

constexpr std::size_t maxProblems = 1000;
constexpr std::size_t maxQuoted = 60;
constexpr std::string_view parentKey = "parent";

/// Text of a tree as a problem shows it: cut and without bytes that would garble a terminal.
std::string quoted(std::string_view text)
{
    std::string shown;
    for (unsigned char c : text.substr(0, maxQuoted))
        shown += c < ' ' || c == 0x7f ? '?' : static_cast<char>(c);
    return fmt::format("\"{}{}\"", shown, text.size() > maxQuoted ? "..." : "");
}

/// Digests of keys aren't secret, but something else pasted in their place may be.
std::string quotedValue(Key key, std::string_view value)
{
    if (infoOf(key).type == ValueType::Digest)
        return fmt::format("{} characters", value.size());
    return quoted(value);
}

/// Builds nodes from the lines of one source after another.
class Reader {
public:
    Reader(TreeData& data, Problems& problems)
        : m_data(data)
        , m_problems(problems)
    {
        addNode(NodeId::defaults(), 0);
    }

    void read(const Source& source)
    {
        m_file = static_cast<std::uint32_t>(m_data.files.size());
        m_data.files.push_back(source.file);
        m_place = Place::OutsideSection;
        LineHandler handler {
            [this](auto line, auto heading) { takeSection(line, heading); },
            [this](auto line, auto key, auto value) { takeEntry(line, key, value); },
            [this](auto line, auto text, auto isTooLong) { takeBadLine(line, text, isTooLong); },
        };
        readLines(source.text, handler);
    }

private:
    enum class Place {
        OutsideSection,
        InNode,
        /// A section that was refused; its keys are passed over, since they'd only repeat the complaint.
        InRefusedSection,
    };

    Node& node() { return m_data.nodes[m_current]; }

    void addNode(NodeId id, std::uint32_t line)
    {
        m_current = static_cast<NodeIndex>(m_data.nodes.size());
        m_data.byName.emplace(id.toString(), m_current);
        auto& node = m_data.nodes.emplace_back();
        node.id = std::move(id);
        node.file = m_file;
        node.line = line;
    }

    void add(ProblemCode code, std::uint32_t line, std::string_view key, std::string found, std::string expected)
    {
        auto heading = m_place == Place::InNode ? node().id.toString() : std::string();
        m_problems.add({ code, m_data.files[m_file], line, heading, std::string(key), std::move(found), std::move(expected) });
    }

    void takeBadLine(std::uint32_t line, std::string_view text, bool isTooLong)
    {
        if (isTooLong)
            add(ProblemCode::LineTooLong, line, {}, fmt::format("{} bytes", text.size()), fmt::format("at most {} bytes a line", maxLineLength));
        else
            add(ProblemCode::BadLine, line, {}, quoted(text), "[SECTION], KEY = VALUE, or a comment after # or ;");
    }

    void takeSection(std::uint32_t line, std::string_view heading)
    {
        m_place = Place::InRefusedSection;
        auto id = NodeId::parse(heading);
        if (!id) {
            add(ProblemCode::BadSection, line, {}, quoted(heading), id.error().message);
            return;
        }
        auto known = m_data.byName.find(id->toString());
        if (known == m_data.byName.end())
            addNode(std::move(*id), line);
        else if (!takeDefaults(line, known->second))
            return;
        m_place = Place::InNode;
    }

    /// The node of the defaults exists from the start; its section may still be written once.
    bool takeDefaults(std::uint32_t line, NodeIndex index)
    {
        auto& known = m_data.nodes[index];
        if (index == defaultsIndex && known.line == 0) {
            m_current = index;
            known.file = m_file;
            known.line = line;
            return true;
        }
        auto first = fmt::format("{}:{}", m_data.files[known.file], known.line);
        add(ProblemCode::DuplicateSection, line, {}, quoted(known.id.toString()), fmt::format("each section once; it also stands at {}", first));
        return false;
    }

    void takeEntry(std::uint32_t line, std::string_view name, std::string_view value)
    {
        if (m_place == Place::InRefusedSection)
            return;
        if (m_place == Place::OutsideSection)
            add(ProblemCode::KeyOutsideSection, line, name, quoted(value), "a [SECTION] before the first key");
        else if (name == parentKey)
            takeParent(line, value);
        else if (auto key = keyFromName(name))
            takeSetting(line, *key, value);
        else
            takeUnknownKey(line, name);
    }

    void takeParent(std::uint32_t line, std::string_view value)
    {
        auto kind = node().id.kind;
        if (kind == NodeKind::Defaults || kind == NodeKind::OrganisationAtService)
            add(ProblemCode::KeyNotForSection, line, parentKey, quoted(value), "no parent: this section's place in the tree is fixed");
        else if (node().parentLine != 0)
            add(ProblemCode::DuplicateKey, line, parentKey, quoted(value), fmt::format("one parent; line {} names {}", node().parentLine, node().parentText));
        else {
            node().parentText = value;
            node().parentLine = line;
        }
    }

    void takeUnknownKey(std::uint32_t line, std::string_view name)
    {
        auto nearest = nearestKeyName(name, node().id.kind);
        auto remedy = nearest.empty() ? std::string("a key listed in docs/REFERENCE.md") : fmt::format("a known key; did you mean {}?", nearest);
        add(ProblemCode::UnknownKey, line, {}, quoted(name), remedy);
    }

    void takeSetting(std::uint32_t line, Key key, std::string_view text)
    {
        auto& info = infoOf(key);
        if (!info.kinds.contains(node().id.kind)) {
            add(ProblemCode::KeyNotForSection, line, info.name, quotedValue(key, text), "the key in " + sectionWords(info));
            return;
        }
        auto& settings = node().settings;
        auto it = std::lower_bound(settings.begin(), settings.end(), key, [](const Setting& setting, Key key) { return setting.key < key; });
        if (it != settings.end() && it->key == key) {
            add(ProblemCode::DuplicateKey, line, info.name, quotedValue(key, text), fmt::format("each key once a section; it also stands on line {}", it->line));
            return;
        }
        auto value = parseValueOf(key, text);
        if (!value) {
            auto code = value.error().code == ErrorCode::OutOfRange ? ProblemCode::OutOfRange : ProblemCode::BadValue;
            add(code, line, info.name, quotedValue(key, text), value.error().message);
            return;
        }
        settings.insert(it, { key, line, std::move(*value) });
    }

    static std::string sectionWords(const KeyInfo& info)
    {
        std::string words;
        for (auto kind : { NodeKind::Defaults, NodeKind::Service, NodeKind::Organisation, NodeKind::OrganisationAtService, NodeKind::Group, NodeKind::DataCentre }) {
            if (info.kinds.contains(kind))
                words += fmt::format("{}[{}]", words.empty() ? "" : " or ", toString(kind));
        }
        return words;
    }

    TreeData& m_data;
    Problems& m_problems;
    std::uint32_t m_file { 0 };
    NodeIndex m_current { defaultsIndex };
    Place m_place { Place::OutsideSection };
};

} // namespace

void Problems::add(Problem problem)
{
    if (m_problems.size() < maxProblems) {
        m_problems.push_back(std::move(problem));
        return;
    }
    if (!m_isCut)
        m_problems.push_back({ ProblemCode::TooManyProblems, problem.file, problem.line, {}, {}, fmt::format("over {} problems", maxProblems), "these to be mended first" });
    m_isCut = true;
}

bool Problems::contains(std::string_view node, std::string_view key) const
{
    return std::any_of(m_problems.begin(), m_problems.end(), [&](auto& problem) { return problem.node == node && problem.key == key; });
}

std::vector<Problem> Problems::take(const std::vector<std::string>& files)
{
    auto position = [&](const Problem& problem) {
        return std::pair(std::find(files.begin(), files.end(), problem.file) - files.begin(), problem.line);
    };
    std::stable_sort(m_problems.begin(), m_problems.end(), [&](auto& a, auto& b) { return position(a) < position(b); });
    return std::move(m_problems);
}

TreeData readSources(std::span<const Source> sources, Problems& problems)
{
    TreeData data;
    Reader reader(data, problems);
    for (auto& source : sources)
        reader.read(source);
    return data;
}

} // namespace swiftloft::settings::internal
