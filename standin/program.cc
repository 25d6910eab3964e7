#include "standin/program.h"

#include "src/log/logger.h"

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>

namespace swiftloft::standin {

std::optional<cxxopts::ParseResult> parseCommandLine(cxxopts::Options& options, int argc, char** argv, int& exitStatus)
{
    options.add_options()("help", "show this text")("version", "show the version");
    exitStatus = 0;
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help")) {
            fmt::print("{}\n", options.help());
            return std::nullopt;
        }
        if (parsed.count("version")) {
            fmt::print("{} {}\n", options.program(), SWIFTLOFT_VERSION);
            return std::nullopt;
        }
        if (parsed.unmatched().empty())
            return parsed;
        fmt::print(stderr, "{}: unexpected argument '{}'\n", options.program(), parsed.unmatched().front());
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}: {}\n", options.program(), error.what());
    }
    exitStatus = 2;
    return std::nullopt;
}

int serveUntilSignal(boost::asio::io_context& io, const std::string& listen, Handler handler)
{
    auto server = HttpServer::create(io, listen, std::move(handler));
    if (!server) {
        log::write(log::Event::StartFailed, "error=\"{}\"", server.error().message);
        return 1;
    }
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
    auto endpoint = (*server)->endpoint();
    fmt::print("listening {}:{}\n", endpoint.address().to_string(), endpoint.port());
    std::fflush(stdout);
    io.run();
    return 0;
}

std::string readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw Exception(Error { ErrorCode::NotFound, fmt::format("cannot read '{}'", path) });
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

std::int64_t epochMilliseconds()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace swiftloft::standin
