#include <swiftloft/membership/instance-list.h>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <limits>

namespace swiftloft::membership {

namespace json = boost::json;

namespace {

constexpr std::size_t maxIdBytes = 256;

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
        list.instances.push_back(parseInstance(it));
    return list;
}

} // namespace

Result<InstanceList> parseInstanceList(std::string_view text)
{
    boost::system::error_code ec;
    // The parsed tree is discarded after conversion, so it is allocated in a few large blocks.
    json::monotonic_resource memory;
    auto value = json::parse(text, ec, &memory);
    if (ec)
        return malformed(ec.message());
    try {
        return parseList(value);
    } catch (const Exception& e) {
        return e.error();
    }
}

} // namespace swiftloft::membership
