#include "src/entry/route-page.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace swiftloft::entry {

namespace json = boost::json;

namespace {

json::string toJson(std::string_view text)
{
    return json::string(text.data(), text.size());
}

json::object toJson(const policy::RouteExplanation& server)
{
    json::object row;
    row["id"] = toJson(server.id.value());
    row["state"] = toJson(policy::toString(server.state));
    row["is_local"] = server.isLocal;
    row["expected_wait_us"] = server.expectedWait.count();
    row["expected_first_byte_us"] = server.expectedFirstByte.count();
    row["slow_factor"] = server.slowFactor;
    row["cached_blocks"] = server.cachedBlocks;
    row["own_in_flight_tokens"] = server.ownInFlight.value();
    return row;
}

} // namespace

std::string toJson(const RoutePage& page)
{
    json::array servers;
    for (auto& server : page.servers)
        servers.push_back(toJson(server));
    json::object body;
    body["instance"] = toJson(page.instance.value());
    body["data_centre"] = toJson(page.dataCentre.value());
    body["service"] = toJson(page.service.value());
    body["backend_servers"] = std::move(servers);
    return json::serialize(body) + "\n";
}

} // namespace swiftloft::entry
