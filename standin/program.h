#pragma once

#include "standin/http-server.h"

#include <cxxopts.hpp>

#include <functional>
#include <optional>
#include <string>

/// What the main functions of the stand-ins share: options, the "listening" line and the stop on a signal.
namespace swiftloft::standin {

/// Parses the command line; an unknown option is an error. Empty when the program should end with `exitStatus`.
std::optional<cxxopts::ParseResult> parseCommandLine(cxxopts::Options&, int argc, char** argv, int& exitStatus);

/// Serves on `listen` until SIGINT or SIGTERM and prints `listening IP:PORT` once connections are accepted.
int serveUntilSignal(boost::asio::io_context&, const std::string& listen, Handler);

/// Contents of a file; throws `Exception` when it cannot be read.
std::string readFile(const std::string& path);

/// Milliseconds since the Unix epoch.
std::int64_t epochMilliseconds();

} // namespace swiftloft::standin
