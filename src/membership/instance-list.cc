#include <swiftloft/membership/instance-list.h>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <optional>

namespace swiftloft::membership {

namespace json = boost::json;

namespace {

constexpr std::size_t maxIdBytes = 256;
constexpr std::string_view whitespace = " \t\r\n";

Error malformed(std::string message)
{
    return Error { ErrorCode::MalformedInput, "instance list: " + std::move(message) };
}

std::string requiredString(const json::object& row, std::string_view key)
{
    auto* value = row.if_contains(key);
    if (!value || !value->is_string())
        throw Exception(malformed(fmt::format("field '{}' is missing or is not a string", key)));
    if (value->get_string().size() > maxIdBytes)
        throw Exception(malformed(fmt::format("field '{}' is longer than {} bytes", key, maxIdBytes)));
    return std::string(value->get_string());
}

std::string optionalString(const json::object& row, std::string_view key)
{
    auto* value = row.if_contains(key);
    return !value || value->is_null() ? std::string() : requiredString(row, key);
}

Role parseRole(const json::object& row)
{
    auto name = requiredString(row, "role");
    if (name == "entry")
        return Role::Entry;
    if (name == "agent")
        return Role::Agent;
    throw Exception(malformed(fmt::format("unknown role '{}', expected 'entry' or 'agent'", name)));
}

ListedState parseState(const json::object& row)
{
    auto name = requiredString(row, "state");
    if (name == "live")
        return ListedState::Live;
    if (name == "leaving")
        return ListedState::Leaving;
    throw Exception(malformed(fmt::format("unknown state '{}', expected 'live' or 'leaving'", name)));
}

std::optional<RankIndex> parseRank(const json::object& row)
{
    auto* value = row.if_contains("rank");
    if (!value || value->is_null())
        return std::nullopt;
    boost::system::error_code ec;
    auto rank = value->to_number<std::uint32_t>(ec);
    if (ec)
        throw Exception(malformed("field 'rank' is not a 32-bit unsigned integer"));
    return RankIndex(rank);
}

ListedInstance parseInstance(const json::value& value)
{
    if (!value.is_object())
        throw Exception(malformed("an element of 'instances' is not an object"));
    auto& row = value.get_object();
    ListedInstance instance;
    instance.id = NodeId(requiredString(row, "id"));
    instance.role = parseRole(row);
    instance.address = TrafficAddress(requiredString(row, "address"));
    instance.peer = PeerAddress(requiredString(row, "peer"));
    instance.dataCentre = DataCentreName(requiredString(row, "data_centre"));
    instance.service = ServiceName(optionalString(row, "service"));
    instance.group = EngineGroupName(optionalString(row, "group"));
    instance.rank = parseRank(row);
    instance.state = parseState(row);
    return instance;
}

std::optional<NodeId> idOf(const json::value& element)
{
    auto* row = element.if_object();
    auto* id = row ? row->if_contains("id") : nullptr;
    bool isValid = id && id->is_string() && id->get_string().size() <= maxIdBytes;
    return isValid ? std::optional(NodeId(std::string(id->get_string()))) : std::nullopt;
}

void addInstance(const json::value& element, InstanceList& list)
{
    try {
        list.instances.push_back(parseInstance(element));
    } catch (const Exception& e) {
        list.leftOut.push_back({ idOf(element), e.error().message });
    }
}

InstanceList parseList(const json::value& value)
{
    if (!value.is_object())
        throw Exception(malformed("the document is not an object"));
    auto& root = value.get_object();
    auto* revision = root.if_contains("revision");
    auto* instances = root.if_contains("instances");
    boost::system::error_code ec;
    if (!revision || !instances || !instances->is_array())
        throw Exception(malformed("field 'revision' is missing, or 'instances' is missing or is not an array"));
    InstanceList list;
    list.revision = Revision(revision->to_number<std::uint64_t>(ec));
    if (ec)
        throw Exception(malformed("field 'revision' is not a 64-bit unsigned integer"));
    list.instances.reserve(instances->get_array().size());
    for (auto& it : instances->get_array())
        addInstance(it, list);
    return list;
}

/// Position of the comma or bracket behind the array element or object member that begins at `at`; unset if there is none.
std::optional<std::size_t> endOfElement(std::string_view text, std::size_t at)
{
    std::size_t depth = 0;
    bool isInString = false;
    for (; at < text.size(); ++at) {
        auto c = text[at];
        if (isInString && c == '\\')
            ++at;
        else if (c == '"')
            isInString = !isInString;
        else if (isInString)
            continue;
        else if (depth == 0 && (c == ',' || c == ']' || c == '}'))
            return at;
        else if (c == '[' || c == '{')
            ++depth;
        else if (c == ']' || c == '}')
            --depth;
    }
    return std::nullopt;
}

/// The elements of the array or object that begins at `at`; unset if it does not end.
std::optional<std::vector<std::string_view>> elementsAt(std::string_view text, std::size_t at)
{
    std::vector<std::string_view> elements;
    do {
        auto begin = at + 1;
        auto end = endOfElement(text, begin);
        if (!end)
            return std::nullopt;
        elements.push_back(text.substr(begin, *end - begin));
        at = *end;
    } while (text[at] == ',');
    return elements;
}

/// Position of the array `instances` in the document; unset if it is not found.
std::optional<std::size_t> instancesIn(std::string_view text)
{
    constexpr std::string_view key = "\"instances\"";
    auto object = text.find_first_not_of(whitespace);
    if (object == std::string_view::npos || text[object] != '{')
        return std::nullopt;
    for (auto member : elementsAt(text, object).value_or(std::vector<std::string_view>())) {
        member.remove_prefix(std::min(member.find_first_not_of(whitespace), member.size()));
        auto colon = member.starts_with(key) ? member.find_first_not_of(whitespace, key.size()) : std::string_view::npos;
        auto array = colon == std::string_view::npos ? colon : member.find_first_not_of(whitespace, colon + 1);
        if (array != std::string_view::npos && member[array] == '[')
            return member.data() + array - text.data();
    }
    return std::nullopt;
}

/// The document without the elements of `instances` that are no JSON, or are nested more deeply than the parser allows. Adds the
/// problem of each to `leftOut`. Unset if the array is not found.
std::optional<std::string> withoutUnparsable(std::string_view text, std::vector<LeftOutInstance>& leftOut)
{
    auto array = instancesIn(text);
    auto elements = array ? elementsAt(text, *array) : std::nullopt;
    if (!elements)
        return std::nullopt;
    // An element stands two levels deep in the document.
    json::parse_options options;
    options.max_depth -= 2;
    std::string out(text.substr(0, *array + 1));
    for (auto& it : *elements) {
        boost::system::error_code ec;
        json::parse(it, ec, {}, options);
        if (ec)
            leftOut.push_back({ std::nullopt, malformed(ec.message()).message });
        else
            out.append(out.back() == '[' ? "" : ",").append(it);
    }
    out.append(text.substr(elements->back().data() + elements->back().size() - text.data()));
    return out;
}

} // namespace

Result<InstanceList> parseInstanceList(std::string_view text)
{
    boost::system::error_code ec;
    // The parsed tree is discarded after conversion, so it is allocated in a few large blocks.
    json::monotonic_resource memory;
    std::vector<LeftOutInstance> unparsable;
    auto value = json::parse(text, ec, &memory);
    auto parsable = ec ? withoutUnparsable(text, unparsable) : std::nullopt;
    if (parsable && !unparsable.empty())
        value = json::parse(*parsable, ec, &memory);
    if (ec)
        return malformed(ec.message());
    try {
        auto list = parseList(value);
        list.leftOut.insert(list.leftOut.end(), unparsable.begin(), unparsable.end());
        if (list.instances.empty() && !list.leftOut.empty())
            return Error { ErrorCode::MalformedInput, list.leftOut.front().problem };
        return list;
    } catch (const Exception& e) {
        return e.error();
    }
}

} // namespace swiftloft::membership
