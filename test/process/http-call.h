#pragma once

#include "src/replay/http-client.h"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace swiftloft::process_test {

struct HttpCall {
    std::string address;
    std::string method { "GET" };
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    milliseconds allowed { 10'000 };
};

/// Sends one request on a connection of its own and waits for the end.
replay::ExchangeResult call(const HttpCall&);

/// The JSON of an answer; throws `Exception` when the exchange failed or its status is not 200.
boost::json::value callJson(const HttpCall&);

} // namespace swiftloft::process_test
