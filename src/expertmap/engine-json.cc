#include "src/expertmap/engine-json.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace swiftloft::expertmap::engine_json {

namespace json = boost::json;

namespace {

constexpr std::size_t maxStagedMaps = 64;

json::object fenceJson(const FencingNumber& fence)
{
    return { { "counter", fence.counter }, { "holder", fence.holder.value() } };
}

json::value pointJson(const std::optional<SwitchPoint>& point)
{
    if (!point)
        return nullptr;
    return json::object { { "map_version", point->version.value() }, { "step", point->step.value() } };
}

json::object mapJson(const ExpertMap& map)
{
    auto& shape = map.shape();
    json::array slots;
    for (auto expert : map.slots())
        slots.push_back(expert == noExpert ? json::value(nullptr) : json::value(expert.value()));
    return { { "ranks", shape.ranks }, { "layers", shape.layers }, { "experts", shape.experts }, { "slots_per_rank", shape.slotsPerRank }, { "slots", std::move(slots) } };
}

/// Visitor that adds the fields of an `Order` to the JSON object `out`. A `ReadStatus` has no fields.
struct OrderWriter {
    json::object& out;

    void operator()(const ReadStatus&) { }
    void operator()(const StageMap& it) { out["map_version"] = it.version.value(); }
    void operator()(const DropMaps& it) { out["map_version"] = it.keep.value(); }
    void operator()(const Admit& it)
    {
        out["map_version"] = it.version.value();
        out["arm"] = pointJson(it.arm);
    }
    void operator()(const Arm& it) { out["point"] = pointJson(it.point); }
    void operator()(const Go& it) { out["point"] = pointJson(it.point); }
    void operator()(const Cancel& it) { out["point"] = pointJson(it.point); }
};

std::uint64_t numberAt(const json::object& in, const char* name)
{
    return in.at(name).to_number<std::uint64_t>();
}

MapVersion versionFrom(const json::object& in)
{
    return MapVersion(numberAt(in, "map_version"));
}

FencingNumber fenceFrom(const json::object& in)
{
    auto& object = in.at("fencing").as_object();
    return { numberAt(object, "counter"), Incarnation(numberAt(object, "holder")) };
}

std::optional<SwitchPoint> optionalPointFrom(const json::value& in)
{
    if (in.is_null())
        return std::nullopt;
    auto& object = in.as_object();
    return SwitchPoint { versionFrom(object), StepNumber(numberAt(object, "step")) };
}

SwitchPoint pointFrom(const json::object& in)
{
    auto& object = in.at("point").as_object();
    return { versionFrom(object), StepNumber(numberAt(object, "step")) };
}

Order orderFrom(const json::object& in)
{
    auto name = json::value_to<std::string>(in.at("order"));
    if (name == nameOf(ReadStatus {}))
        return ReadStatus {};
    if (name == nameOf(StageMap {}))
        return StageMap { versionFrom(in) };
    if (name == nameOf(DropMaps {}))
        return DropMaps { versionFrom(in) };
    if (name == nameOf(Admit {}))
        return Admit { versionFrom(in), optionalPointFrom(in.at("arm")) };
    if (name == nameOf(Arm {}))
        return Arm { pointFrom(in) };
    if (name == nameOf(Go {}))
        return Go { pointFrom(in) };
    if (name == nameOf(Cancel {}))
        return Cancel { pointFrom(in) };
    throw Exception({ ErrorCode::MalformedInput, fmt::format("unknown order '{}'", name) });
}

EngineStatus statusFrom(const json::object& in)
{
    EngineStatus status;
    status.engine = Incarnation(numberAt(in, "engine"));
    status.isAdmitted = in.at("is_admitted").as_bool();
    status.current = versionFrom(in);
    status.entered = StepNumber(numberAt(in, "step"));
    status.armed = optionalPointFrom(in.at("armed"));
    status.isReleased = in.at("is_released").as_bool();
    auto& staged = in.at("staged").as_array();
    if (staged.size() > maxStagedMaps)
        throw Exception({ ErrorCode::MalformedInput, "engine status has too many staged maps" });
    for (auto& it : staged)
        status.staged.emplace_back(it.to_number<std::uint64_t>());
    return status;
}

/// Runs `read` and converts the exceptions it throws for text that is not JSON or lacks a field to an `Error`.
template <typename T, typename Read>
Result<T> catchMalformed(Read&& read)
{
    try {
        return read();
    } catch (const Exception& e) {
        return e.error();
    } catch (const std::exception& e) {
        return Error { ErrorCode::MalformedInput, fmt::format("malformed map change message: {}", e.what()) };
    }
}

} // namespace

std::string toJson(const EngineOrder& order, const ExpertMap* map)
{
    json::object out { { "id", order.id }, { "fencing", fenceJson(order.fence) }, { "order", nameOf(order.order) } };
    std::visit(OrderWriter { out }, order.order);
    if (map)
        out["map"] = mapJson(*map);
    return json::serialize(out);
}

std::string toJson(const EngineResponse& response)
{
    auto& status = response.status;
    json::array staged;
    for (auto it : status.staged)
        staged.push_back(it.value());
    json::object out {
        { "engine", status.engine.value() },
        { "is_admitted", status.isAdmitted },
        { "map_version", status.current.value() },
        { "step", status.entered.value() },
        { "armed", pointJson(status.armed) },
        { "is_released", status.isReleased },
        { "staged", std::move(staged) },
        { "fencing", fenceJson(response.fence) },
    };
    return json::serialize(out);
}

Result<EngineOrder> parseOrder(std::string_view text)
{
    return catchMalformed<EngineOrder>([&] {
        auto value = json::parse(text);
        auto& object = value.as_object();
        return EngineOrder { numberAt(object, "id"), fenceFrom(object), orderFrom(object) };
    });
}

Result<EngineResponse> parseResponse(std::string_view text)
{
    return catchMalformed<EngineResponse>([&] {
        auto value = json::parse(text);
        auto& object = value.as_object();
        return EngineResponse { statusFrom(object), fenceFrom(object) };
    });
}

} // namespace swiftloft::expertmap::engine_json
