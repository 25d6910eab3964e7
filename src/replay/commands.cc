#include "src/replay/commands.h"

#include "src/replay/generator.h"
#include "src/replay/judge.h"
#include "src/replay/report.h"
#include "src/replay/runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <thread>

namespace swiftloft::replay {

namespace {

constexpr int wrongUsage = 2;

using Arguments = cxxopts::ParseResult;

/// Parses, prints help, or throws a `cxxopts` error.
std::optional<Arguments> parse(cxxopts::Options& options, int argc, char** argv)
{
    options.add_options()("help", "show this text");
    auto parsed = options.parse(argc, argv);
    if (!parsed.unmatched().empty())
        throw Exception({ ErrorCode::InvalidArgument, fmt::format("unexpected argument '{}'", parsed.unmatched().front()) });
    if (!parsed.count("help"))
        return parsed;
    fmt::print("{}\n", options.help());
    return std::nullopt;
}

int guarded(const std::function<int()>& command)
{
    try {
        return command();
    } catch (const std::exception& error) {
        fmt::print(stderr, "swiftloft-replay: {}\n", error.what());
        return wrongUsage;
    }
}

std::vector<std::string> listOf(const Arguments& arguments, const char* name)
{
    return arguments.count(name) ? arguments[name].as<std::vector<std::string>>() : std::vector<std::string>();
}

void addFleetOptions(cxxopts::Options& options)
{
    using cxxopts::value;
    options.add_options()("entry", "IP:PORT of an entry to ask for addresses; may be repeated", value<std::vector<std::string>>());
    options.add_options()("direct", "the --entry addresses are backend servers: no address answer, no verdict");
    options.add_options()("engine", "IP:PORT of a backend server whose runs are counted; may be repeated", value<std::vector<std::string>>());
    options.add_options()("callers", "callers with address answers and connections of their own", value<std::size_t>()->default_value("6"));
    options.add_options()("concurrency", "closed loop with so many requests in progress; 0: open loop", value<std::size_t>()->default_value("0"));
    options.add_options()("resends", "how often a cut request is sent again", value<int>()->default_value("1"));
    options.add_options()("settle-ms", "pause before the runs are counted", value<int>()->default_value("500"));
    options.add_options()("table", "print a row for each request");
    options.add_options()("json", "print the summary as JSON");
    options.add_options()("counts-name", "end with the line 'NAME: N answered, N refused, N lost, N doubled'", value<std::string>()->default_value(""));
}

RunnerOptions runnerOptions(const Arguments& arguments)
{
    RunnerOptions options;
    options.sender.seeds = listOf(arguments, "entry");
    if (options.sender.seeds.empty())
        throw Exception({ ErrorCode::InvalidArgument, "--entry is needed" });
    options.sender.isDirect = arguments.count("direct") > 0;
    options.sender.mostResends = arguments["resends"].as<int>();
    options.callers = arguments["callers"].as<std::size_t>();
    options.concurrency = arguments["concurrency"].as<std::size_t>();
    return options;
}

RunCounts countRuns(const Arguments& arguments)
{
    auto backendServers = listOf(arguments, "engine");
    RunCounts counts;
    if (backendServers.empty())
        return counts;
    // A late copy of a request may still be on its way; one that runs after this pause is not seen.
    std::this_thread::sleep_for(milliseconds(arguments["settle-ms"].as<int>()));
    boost::asio::io_context io(1);
    HttpClient client(io);
    boost::asio::co_spawn(io, fetchRunCounts(client, backendServers), [&](const std::exception_ptr&, RunCounts found) { counts = std::move(found); });
    io.run();
    return counts;
}

int sendAndJudge(const Arguments& arguments, RunnerOptions options, Runner::Source source, std::vector<StatedOutcome> outcomes)
{
    boost::asio::io_context io(1);
    Runner runner(io, std::move(options));
    auto printsTable = arguments.count("table") > 0;
    if (printsTable) {
        fmt::print("{}", tableHead());
        runner.onRecord = [](const Record& record) {
            fmt::print("{}", tableRow(record));
            std::fflush(stdout);
        };
    }
    auto records = runner.run(std::move(source));
    auto counts = countRuns(arguments);
    auto summary = summarize(records, counts);
    auto failures = judge(summary, withDefaults(std::move(outcomes)));
    for (auto& address : counts.unreachable)
        failures.push_back({ fmt::format("the runs of {} can't be counted", address) });
    fmt::print("{}", arguments.count("json") ? summaryJson(summary, failures) + '\n' : summaryText(summary));
    std::fflush(stdout);
    for (auto& failure : failures)
        fmt::print(stderr, "not held: {}\n", failure.what);
    auto name = arguments["counts-name"].as<std::string>();
    if (!name.empty())
        fmt::print("{}", countsLine(name, summary));
    return failures.empty() ? 0 : 1;
}

Runner::Source sourceOf(std::vector<TraceRequest> requests)
{
    return [requests = std::move(requests), n = std::size_t(0)]() mutable -> std::optional<TraceRequest> {
        if (n == requests.size())
            return std::nullopt;
        return requests[n++];
    };
}

Trace readTraceFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw Exception({ ErrorCode::NotFound, fmt::format("cannot read '{}'", path) });
    std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    auto trace = parseTrace(text);
    if (!trace)
        throw Exception({ trace.error().code, fmt::format("{}: {}", path, trace.error().message) });
    return *trace;
}

/// `repeat` copies of the requests, each with keys and prompts of its own.
std::vector<TraceRequest> repeated(const std::vector<TraceRequest>& requests, int repeat)
{
    std::vector<TraceRequest> all;
    auto length = requests.empty() ? milliseconds(0) : requests.back().sendAt + milliseconds(1);
    for (int n = 0; n < repeat; ++n) {
        for (auto request : requests) {
            request.sendAt += n * length;
            if (n > 0 && !request.key.value().empty())
                request.key = RequestKey(fmt::format("{}.{}", request.key.value(), n));
            if (n > 0 && request.prompt)
                request.prompt->ownId += fmt::format(".{}", n);
            all.push_back(std::move(request));
        }
    }
    return all;
}

TraceRequest loadRequest(const Arguments& arguments)
{
    TraceRequest request;
    auto isPlain = arguments["kind"].as<std::string>() == "plain";
    request.service = ServiceName(arguments["service"].as<std::string>());
    request.organisation = OrganisationName(arguments["organisation"].as<std::string>());
    request.kind = isPlain ? BackendKind::Plain : BackendKind::Model;
    request.method = isPlain ? "GET" : "POST";
    request.path = isPlain ? "/load" : "/v1/completions";
    request.maxTokens = arguments["max-tokens"].as<std::int64_t>();
    request.allowed = milliseconds(arguments["deadline-ms"].as<std::int64_t>());
    request.isRepeatable = arguments["repeatable"].as<std::string>() == "yes";
    request.isStream = !isPlain && arguments["stream"].as<std::string>() == "yes";
    if (!isPlain)
        request.prompt = PromptSpec { "load", arguments["prefix-characters"].as<std::size_t>(), "0", arguments["own-characters"].as<std::size_t>() };
    return request;
}

/// Requests without end until `seconds` have passed, at `rate` a second in an open loop.
Runner::Source loadSource(const Arguments& arguments)
{
    auto rate = arguments["rate"].as<double>();
    auto stopAt = Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(arguments["seconds"].as<double>()));
    auto needsKey = arguments["keys"].as<std::string>() == "yes";
    // Two runs against one fleet must not share keys.
    auto runId = Clock::now().time_since_epoch().count();
    return [=, request = loadRequest(arguments), n = std::size_t(0)]() mutable -> std::optional<TraceRequest> {
        if (Clock::now() >= stopAt)
            return std::nullopt;
        ++n;
        if (request.prompt)
            request.prompt->ownId = fmt::format("{}-{}", runId, n);
        if (needsKey)
            request.key = RequestKey(fmt::format("load-{}-{}", runId, n));
        request.sendAt = milliseconds(rate > 0 ? static_cast<std::int64_t>(1000.0 * static_cast<double>(n) / rate) : 0);
        return request;
    };
}

cxxopts::Options loadOptions()
{
    using cxxopts::value;
    cxxopts::Options options("swiftloft-replay load", "Sends generated requests at a rate (open loop) or a concurrency (closed loop)");
    addFleetOptions(options);
    options.add_options()("rate", "requests a second in an open loop", value<double>()->default_value("0"));
    options.add_options()("seconds", "how long to send", value<double>()->default_value("10"));
    options.add_options()("kind", "model or plain", value<std::string>()->default_value("model"));
    options.add_options()("service", "service to ask for", value<std::string>()->default_value("drafting"));
    options.add_options()("organisation", "organisation to ask as", value<std::string>()->default_value("old-quarter-cafes"));
    options.add_options()("max-tokens", "tokens of an answer", value<std::int64_t>()->default_value("16"));
    options.add_options()("prefix-characters", "length of the prompt's shared part", value<std::size_t>()->default_value("256"));
    options.add_options()("own-characters", "length of the prompt's own part", value<std::size_t>()->default_value("64"));
    options.add_options()("deadline-ms", "time allowed to a request", value<std::int64_t>()->default_value("30000"));
    options.add_options()("repeatable", "yes or no", value<std::string>()->default_value("yes"));
    options.add_options()("stream", "yes or no", value<std::string>()->default_value("yes"));
    options.add_options()("keys", "yes: each request has a key", value<std::string>()->default_value("no"));
    return options;
}

} // namespace

int runCommand(int argc, char** argv)
{
    return guarded([&] {
        using cxxopts::value;
        cxxopts::Options options("swiftloft-replay run", "Replays a trace and judges its stated outcomes");
        addFleetOptions(options);
        options.add_options()("trace", "file with the trace", value<std::string>());
        options.add_options()("speed", "factor on the times of the trace", value<double>()->default_value("1"));
        options.add_options()("repeat", "replay so many times over", value<int>()->default_value("1"));
        auto arguments = parse(options, argc, argv);
        if (!arguments)
            return 0;
        if (!arguments->count("trace"))
            throw Exception({ ErrorCode::InvalidArgument, "--trace is needed" });
        auto trace = readTraceFile((*arguments)["trace"].as<std::string>());
        auto settings = runnerOptions(*arguments);
        settings.speed = (*arguments)["speed"].as<double>();
        auto requests = repeated(trace.requests, (*arguments)["repeat"].as<int>());
        return sendAndJudge(*arguments, std::move(settings), sourceOf(std::move(requests)), trace.outcomes);
    });
}

int loadCommand(int argc, char** argv)
{
    return guarded([&] {
        auto options = loadOptions();
        auto arguments = parse(options, argc, argv);
        if (!arguments)
            return 0;
        auto settings = runnerOptions(*arguments);
        if (settings.concurrency == 0 && (*arguments)["rate"].as<double>() <= 0)
            throw Exception({ ErrorCode::InvalidArgument, "--rate or --concurrency is needed" });
        return sendAndJudge(*arguments, std::move(settings), loadSource(*arguments), {});
    });
}

int generateCommand(int argc, char** argv)
{
    return guarded([&] {
        using cxxopts::value;
        cxxopts::Options options("swiftloft-replay generate", "Writes a trace to standard output");
        options.add_options()("firm", "via-he or rasoi-rahdari", value<std::string>()->default_value("via-he"));
        options.add_options()("seed", "the same seed gives the same trace", value<std::uint64_t>()->default_value("1"));
        options.add_options()("seconds", "length of the trace", value<int>()->default_value("10"));
        options.add_options()("rate", "mean requests a second", value<double>()->default_value("10"));
        auto arguments = parse(options, argc, argv);
        if (!arguments)
            return 0;
        auto firm = firmFromString((*arguments)["firm"].as<std::string>());
        if (!firm)
            throw Exception({ ErrorCode::InvalidArgument, "--firm must be via-he or rasoi-rahdari" });
        GeneratorOptions generator { *firm, (*arguments)["seed"].as<std::uint64_t>(), seconds((*arguments)["seconds"].as<int>()), (*arguments)["rate"].as<double>() };
        if (generator.requestsPerSecond <= 0)
            throw Exception({ ErrorCode::InvalidArgument, "--rate must be above 0" });
        fmt::print("{}", formatTrace(generate(generator)));
        return 0;
    });
}

} // namespace swiftloft::replay
