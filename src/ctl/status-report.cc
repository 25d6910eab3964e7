#include "src/ctl/status-report.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace swiftloft::ctl {

namespace {

namespace json = boost::json;

const json::value* find(const json::object& object, const char* key)
{
    auto value = object.if_contains(key);
    return value && !value->is_null() ? value : nullptr;
}

std::string textOf(const json::object& object, const char* key)
{
    auto value = find(object, key);
    return value ? std::string(value->as_string()) : std::string();
}

std::optional<Revision> revisionOf(const json::object& object, const char* key)
{
    auto value = find(object, key);
    auto number = value ? value->to_number<std::uint64_t>() : 0;
    if (number == 0)
        return std::nullopt;
    return Revision(number);
}

BackendServerStatus backendServerFrom(const json::object& object)
{
    BackendServerStatus server;
    server.id = BackendServerId(textOf(object, "id"));
    server.service = ServiceName(textOf(object, "service"));
    server.dataCentre = DataCentreName(textOf(object, "data_centre"));
    server.state = textOf(object, "state");
    if (auto load = find(object, "load"))
        server.load = load->to_number<double>();
    return server;
}

StatusReport reportFrom(const json::object& object)
{
    StatusReport report;
    report.instance = InstanceId(textOf(object, "instance"));
    report.role = textOf(object, "role");
    report.dataCentre = DataCentreName(textOf(object, "data_centre"));
    report.state = textOf(object, "state");
    report.settingsRevision = revisionOf(object, "settings_revision");
    report.refusedRevision = revisionOf(object, "refused_revision");
    report.refusedReason = textOf(object, "refused_reason");
    if (auto inFlight = find(object, "in_flight"))
        report.inFlight = inFlight->to_number<std::uint64_t>();
    if (auto servers = find(object, "backend_servers")) {
        for (auto& server : servers->as_array())
            report.backendServers.push_back(backendServerFrom(server.as_object()));
    }
    return report;
}

} // namespace

Result<StatusReport> statusFromJson(std::string_view text)
{
    try {
        return reportFrom(json::parse(json::string_view(text.data(), text.size())).as_object());
    } catch (const std::exception& exception) {
        return Error { ErrorCode::MalformedInput, fmt::format("not a status: {}", exception.what()) };
    }
}

} // namespace swiftloft::ctl
