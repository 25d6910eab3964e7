#pragma once

#include <swiftloft/expertmap/expert-map.h>
#include <swiftloft/expertmap/rank-agent.h>
#include <swiftloft/result.h>

#include <string>
#include <string_view>

/// The orders of a rank agent to its engine and the engine's answers, as JSON over HTTP. docs/design/stand-ins.md lists
/// the fields. Nothing here throws.
namespace swiftloft::expertmap::engine_json {

/// Where an engine takes orders of a map change (POST) and answers each with its status.
inline constexpr const char* ordersPath = "/map/orders";

/// An engine's answer to an order.
struct EngineResponse {
    EngineStatus status;
    /// Highest fencing number the engine has seen; zero for engines that ignore them.
    FencingNumber fence;
};

/// `map` is the content of the map that a `StageMap` names; unset in other orders.
std::string toJson(const EngineOrder& order, const ExpertMap* map = nullptr);
std::string toJson(const EngineResponse& response);

/// Fail with `MalformedInput` when a field is missing, of the wrong type or out of range.
Result<EngineOrder> parseOrder(std::string_view text);
Result<EngineResponse> parseResponse(std::string_view text);

} // namespace swiftloft::expertmap::engine_json
