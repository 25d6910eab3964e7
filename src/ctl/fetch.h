#pragma once

#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>
#include <vector>

namespace swiftloft::ctl {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// Reads "IP:PORT" or "[IP]:PORT"; throws `UsageError`.
std::vector<Endpoint> endpointsFrom(const std::vector<std::string>& texts);

std::string toString(const Endpoint& endpoint);

/// What one instance answered.
struct Fetched {
    Endpoint endpoint;
    Result<std::string> body;
};

/// Asks every endpoint for `target` by HTTP, many at a time. Each has until `deadline`; one that is silent, refuses or
/// answers with another status than 200 gives an error and holds up no other. `onFetched` gets each answer when it is
/// there, in any order, with the endpoint's index.
using FetchedHandler = std::function<void(std::size_t index, Fetched fetched)>;
void fetchAll(const std::vector<Endpoint>& endpoints, const std::string& target, TimePoint deadline, const FetchedHandler& onFetched);

} // namespace swiftloft::ctl
