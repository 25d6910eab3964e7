#include "src/ctl/status-report.h"

#include "src/ctl/json-fields.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace swiftloft::ctl {

namespace {

namespace json = boost::json;

std::optional<Revision> revisionOf(const json::object& object, const char* key)
{
    auto number = numberField<std::uint64_t>(object, key);
    if (number == 0)
        return std::nullopt;
    return Revision(number);
}

BackendServerStatus backendServerFrom(const json::object& object)
{
    BackendServerStatus server;
    server.id = BackendServerId(textField(object, "id"));
    server.service = ServiceName(textField(object, "service"));
    server.dataCentre = DataCentreName(textField(object, "data_centre"));
    server.state = textField(object, "state");
    if (auto load = findField(object, "load"))
        server.load = load->to_number<double>();
    return server;
}

StatusReport reportFrom(const json::object& object)
{
    StatusReport report;
    report.instance = InstanceId(textField(object, "instance"));
    report.role = textField(object, "role");
    report.dataCentre = DataCentreName(textField(object, "data_centre"));
    report.state = textField(object, "state");
    report.settingsRevision = revisionOf(object, "settings_revision");
    report.refusedRevision = revisionOf(object, "refused_revision");
    report.refusedReason = textField(object, "refused_reason");
    report.inFlight = numberField<std::uint64_t>(object, "in_flight");
    if (auto servers = findField(object, "backend_servers")) {
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
