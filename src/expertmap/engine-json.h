#pragma once

#include <swiftloft/expertmap/expert-map.h>
#include <swiftloft/expertmap/rank-agent.h>
#include <swiftloft/result.h>

#include <string>
#include <string_view>

/// The orders of a rank agent to its engine and the engine's responses, as JSON over HTTP. docs/design/stand-ins.md
/// lists the fields. No function throws.
namespace swiftloft::expertmap::engine_json {

/// Path at which an engine accepts the orders of a map change (POST). The engine responds to each with its status.
inline constexpr const char* ordersPath = "/map/orders";

/// An engine's response to an order.
struct EngineResponse {
    EngineStatus status;
    /// Highest fencing number that the engine has seen; zero for engines that ignore fencing numbers.
    FencingNumber fence;
};

/// `map` is the content of the map that a `StageMap` names; null for other orders.
std::string toJson(const EngineOrder& order, const ExpertMap* map = nullptr);
std::string toJson(const EngineResponse& response);

/// Both functions fail with `MalformedInput` when a field is missing, of the wrong type or out of range.
Result<EngineOrder> parseOrder(std::string_view text);
Result<EngineResponse> parseResponse(std::string_view text);

} // namespace swiftloft::expertmap::engine_json
