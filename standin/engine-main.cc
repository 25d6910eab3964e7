/// Model engine.
#include "standin/engine.h"
#include "standin/program.h"

#include "src/log/logger.h"

namespace swiftloft::standin {

namespace {

template <typename T>
void addOption(cxxopts::Options& options, const char* name, const char* text, const char* defaultValue)
{
    options.add_options()(name, text, cxxopts::value<T>()->default_value(defaultValue));
}

cxxopts::Options commandLine()
{
    cxxopts::Options options("standin-engine", "Stand-in for a model engine");
    addOption<std::string>(options, "listen", "IP:PORT to listen on", "127.0.0.1:0");
    addOption<std::string>(options, "id", "name given in answers", "engine");
    addOption<double>(options, "step-ms", "time of a step; 0 for as fast as it can", "6");
    addOption<std::size_t>(options, "batch", "requests that run at a time", "16");
    addOption<double>(options, "prompt-ms-per-1k", "prefill time for 1000 prompt tokens", "20");
    addOption<std::size_t>(options, "cache-blocks", "prefix cache in blocks of 64 characters", "4096");
    addOption<std::int64_t>(options, "kv-tokens", "size of the KV cache", "262144");
    addOption<int>(options, "load-lag-ms", "age of the load report", "0");
    addOption<std::string>(options, "check-fencing", "yes: refuse orders with an old fencing number; no: take all", "yes");
    addOption<std::string>(options, "crash-marker", "a prompt with this text crashes the engine", "");
    addOption<std::string>(options, "run-log", "file that keeps the run log over a crash", "");
    addOption<std::uint32_t>(options, "rank", "rank in the group", "0");
    addOption<std::vector<std::string>>(options, "group-peers", "IP:PORT,... of the group's engines by rank, this one too; empty for no group", "");
    addOption<int>(options, "map-load-ms", "time that loading an expert map takes", "50");
    return options;
}

std::optional<RankGroupOptions> groupOptions(const cxxopts::ParseResult& parsed)
{
    RankGroupOptions group;
    group.rank = parsed["rank"].as<std::uint32_t>();
    group.peers = parsed["group-peers"].as<std::vector<std::string>>();
    std::erase(group.peers, "");
    group.stepMs = parsed["step-ms"].as<double>();
    group.checksFencing = parsed["check-fencing"].as<std::string>() != "no";
    group.mapLoadTime = milliseconds(parsed["map-load-ms"].as<int>());
    if (group.peers.empty())
        return std::nullopt;
    if (group.rank >= group.peers.size())
        throw Exception({ ErrorCode::InvalidArgument, "--rank must be below the number of --group-peers" });
    return group;
}

EngineOptions engineOptions(const cxxopts::ParseResult& parsed)
{
    EngineOptions options;
    options.id = parsed["id"].as<std::string>();
    options.batch.stepMs = parsed["step-ms"].as<double>();
    options.batch.batch = parsed["batch"].as<std::size_t>();
    options.batch.promptMsPerThousand = parsed["prompt-ms-per-1k"].as<double>();
    options.batch.cacheBlocks = parsed["cache-blocks"].as<std::size_t>();
    options.batch.kvTokens = parsed["kv-tokens"].as<std::int64_t>();
    options.loadLag = std::chrono::milliseconds(parsed["load-lag-ms"].as<int>());
    options.checksFencing = parsed["check-fencing"].as<std::string>() != "no";
    options.crashMarker = parsed["crash-marker"].as<std::string>();
    options.runLogFile = parsed["run-log"].as<std::string>();
    options.group = groupOptions(parsed);
    return options;
}

int run(int argc, char** argv)
{
    auto options = commandLine();
    int exitStatus = 0;
    auto parsed = parseCommandLine(options, argc, argv, exitStatus);
    if (!parsed)
        return exitStatus;
    boost::asio::io_context io(1);
    Engine engine(io, engineOptions(*parsed));
    log::setProcessName((*parsed)["id"].as<std::string>());
    return serveUntilSignal(io, (*parsed)["listen"].as<std::string>(), [&](Exchange& exchange) { return engine.handle(exchange); });
}

} // namespace

} // namespace swiftloft::standin

int main(int argc, char** argv)
{
    return swiftloft::standin::run(argc, argv);
}
