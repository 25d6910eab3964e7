#include "src/burn/report.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace swiftloft::burn {

namespace {

namespace json = boost::json;

constexpr std::string_view path = "/swiftloft/v1/burn";

json::object toJson(const Row& row)
{
    json::object reasons;
    for (auto& reason : row.reasons)
        reasons[reason.reason] = reason.count;
    return { { "service", row.service.value() }, { "organisation", row.organisation.value() }, { "good", row.good }, { "bad", row.bad }, { "reasons", std::move(reasons) } };
}

std::vector<ReasonCount> reasonsFrom(const json::object& object)
{
    std::vector<ReasonCount> reasons;
    for (auto& [reason, count] : object)
        reasons.push_back({ std::string(reason), count.to_number<std::uint64_t>() });
    std::stable_sort(reasons.begin(), reasons.end(), [](auto& a, auto& b) { return a.count > b.count; });
    return reasons;
}

Row rowFrom(const json::object& object)
{
    return { ServiceName(std::string(object.at("service").as_string())), OrganisationName(std::string(object.at("organisation").as_string())),
        object.at("good").to_number<std::uint64_t>(), object.at("bad").to_number<std::uint64_t>(), reasonsFrom(object.at("reasons").as_object()) };
}

Window windowFrom(const json::object& object)
{
    Window window;
    window.length = std::chrono::seconds(object.at("seconds").to_number<std::int64_t>());
    window.coveredSeconds = object.at("covered_seconds").to_number<double>();
    for (auto& row : object.at("rows").as_array())
        window.rows.push_back(rowFrom(row.as_object()));
    return window;
}

} // namespace

std::string targetOf(const Scope& scope)
{
    auto target = std::string(path);
    if (scope.service)
        target += fmt::format("?service={}", scope.service->value());
    if (!scope.hasOrganisations)
        target += fmt::format("{}organisations=no", scope.service ? '&' : '?');
    return target;
}

Result<Scope> scopeFromTarget(std::string_view target)
{
    auto url = boost::urls::parse_origin_form(boost::core::string_view(target.data(), target.size()));
    if (!url)
        return Error { ErrorCode::MalformedInput, "expected a path and a query" };
    Scope scope;
    for (auto param : url->params()) {
        if (param.key == "service")
            scope.service = ServiceName(param.value);
        else if (param.key == "organisations" && (param.value == "yes" || param.value == "no"))
            scope.hasOrganisations = param.value == "yes";
        else
            return Error { ErrorCode::InvalidArgument, "expected service=NAME and organisations=yes or organisations=no" };
    }
    return scope;
}

std::string toJson(const Report& report)
{
    json::array windows;
    for (auto& window : report.windows) {
        json::array rows;
        for (auto& row : window.rows)
            rows.push_back(toJson(row));
        windows.push_back(json::object { { "seconds", window.length.count() }, { "covered_seconds", window.coveredSeconds }, { "rows", std::move(rows) } });
    }
    return json::serialize(json::object { { "instance", report.instance.value() }, { "since", report.since }, { "windows", std::move(windows) } });
}

Result<Report> reportFromJson(std::string_view text)
{
    try {
        auto value = json::parse(json::string_view(text.data(), text.size()));
        auto& object = value.as_object();
        Report report;
        report.instance = InstanceId(std::string(object.at("instance").as_string()));
        report.since = std::string(object.at("since").as_string());
        for (auto& window : object.at("windows").as_array())
            report.windows.push_back(windowFrom(window.as_object()));
        return report;
    } catch (const std::exception& exception) {
        return Error { ErrorCode::MalformedInput, fmt::format("not a burn report: {}", exception.what()) };
    }
}

} // namespace swiftloft::burn
