#include "src/ctl/route-report.h"

#include "src/ctl/json-fields.h"
#include "src/ctl/table.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace swiftloft::ctl {

namespace {

namespace json = boost::json;

constexpr std::string_view activeState = "active";
constexpr double microsecondsPerMillisecond = 1000;

RouteServer serverFrom(const json::object& object)
{
    RouteServer server;
    server.id = BackendServerId(textField(object, "id"));
    server.state = textField(object, "state");
    if (auto isLocal = findField(object, "is_local"))
        server.isLocal = isLocal->as_bool();
    server.expectedWait = microseconds(numberField<std::int64_t>(object, "expected_wait_us"));
    server.expectedFirstByte = microseconds(numberField<std::int64_t>(object, "expected_first_byte_us"));
    if (findField(object, "slow_factor"))
        server.slowFactor = numberField<double>(object, "slow_factor");
    server.cachedBlocks = numberField<std::size_t>(object, "cached_blocks");
    server.ownInFlight = Tokens(numberField<std::int64_t>(object, "own_in_flight_tokens"));
    return server;
}

RouteReport reportFrom(const json::object& object)
{
    RouteReport report;
    report.instance = InstanceId(textField(object, "instance"));
    report.dataCentre = DataCentreName(textField(object, "data_centre"));
    report.service = ServiceName(textField(object, "service"));
    if (auto servers = findField(object, "backend_servers")) {
        for (auto& server : servers->as_array())
            report.servers.push_back(serverFrom(server.as_object()));
    }
    return report;
}

std::string inMilliseconds(microseconds time)
{
    return fmt::format("{:.1f} ms", static_cast<double>(time.count()) / microsecondsPerMillisecond);
}

std::string conclusion(const RouteReport& report)
{
    auto best = report.best();
    if (!best)
        return fmt::format("{}: no backend server of {} can take a request\n", report.instance.value(), report.service.value());
    return fmt::format("{}: the next request goes to {}, first byte expected in {}{}\n", report.instance.value(), best->id.value(),
        inMilliseconds(best->expectedFirstByte), best->isLocal ? "" : ", in another data centre");
}

} // namespace

bool RouteServer::mayBeChosen() const
{
    return state == activeState;
}

const RouteServer* RouteReport::best() const
{
    auto it = std::find_if(servers.begin(), servers.end(), [](auto& server) { return server.mayBeChosen(); });
    return it == servers.end() ? nullptr : &*it;
}

Result<RouteReport> routeFromJson(std::string_view text)
{
    try {
        return reportFrom(json::parse(json::string_view(text.data(), text.size())).as_object());
    } catch (const std::exception& exception) {
        return Error { ErrorCode::MalformedInput, fmt::format("not a route: {}", exception.what()) };
    }
}

void printRoute(const RouteReport& report, const Console& console)
{
    Table table({ { "INSTANCE" }, { "BACKEND SERVER" }, { "STATE" }, { "PLACE" }, { "WAIT", Table::Align::Right },
        { "FIRST BYTE", Table::Align::Right }, { "SLOWED", Table::Align::Right }, { "OWN TOKENS", Table::Align::Right } });
    for (auto& server : report.servers) {
        table.add({ report.instance.value(), server.id.value(), server.state, server.isLocal ? "near" : "elsewhere", inMilliseconds(server.expectedWait),
                      inMilliseconds(server.expectedFirstByte), fmt::format("x {:.2f}", server.slowFactor), fmt::format("{}", server.ownInFlight.value()) },
            server.mayBeChosen() ? Tone::Plain : Tone::Bad);
    }
    if (!table.isEmpty())
        table.print(console);
    console.out(conclusion(report));
}

} // namespace swiftloft::ctl
