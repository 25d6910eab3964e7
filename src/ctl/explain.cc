#include "src/ctl/command.h"
#include "src/ctl/log-line.h"
#include "src/ctl/options.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

namespace swiftloft::ctl {

namespace {

/// What happened to servers, groups and configurations counts as context of a request from so long before its first line
/// to as long behind its last. Logs have whole seconds.
constexpr std::chrono::seconds contextAround { 5 };

using Lines = std::vector<LogLine>;

void readLines(std::istream& in, Lines& lines)
{
    std::string text;
    while (std::getline(in, text)) {
        if (auto line = parseLogLine(text))
            lines.push_back(std::move(*line));
    }
}

Lines readAll(const Arguments& files)
{
    Lines lines;
    if (files.empty())
        readLines(std::cin, lines);
    for (auto& name : files) {
        std::ifstream in(name);
        if (!in)
            throw UsageError(fmt::format("{}: can't be read", name));
        readLines(in, lines);
    }
    // Files of several processes come one behind the other.
    std::stable_sort(lines.begin(), lines.end(), [](auto& a, auto& b) { return a.time < b.time; });
    return lines;
}

std::set<std::string> serversOf(const Lines& own)
{
    std::set<std::string> servers;
    for (auto& line : own) {
        auto list = line.field("servers") + "," + line.field("server");
        std::istringstream in(list);
        for (std::string server; std::getline(in, server, ',');) {
            if (!server.empty())
                servers.insert(server);
        }
    }
    return servers;
}

/// True for the events that say which crashes a request is suspected of, which may be long before it is refused.
bool isSuspicion(const LogLine& line)
{
    return line.event == "RequestSuspected" || line.event == "RequestQuarantined" || line.event == "SuspectCleared"
        || line.event == "PromptPartSuspected" || line.event == "PromptPartQuarantined" || line.event == "PromptPartCleared";
}

/// Fingerprint of the part that decided about the request, or else of the request.
std::string causeFingerprint(const LogLine& end)
{
    auto part = end.field("cause");
    return part.empty() ? end.field("fingerprint") : part;
}

/// What the request is refused for.
std::string suspectOf(const LogLine& end)
{
    auto part = end.field("part");
    return part.empty() ? "its content" : fmt::format("the part {} of its prompt", part);
}

/// The servers that crashed while what has this fingerprint was in flight, separated by commas.
std::string crashedServers(const Lines& lines, const std::string& fingerprint)
{
    std::set<std::string> servers;
    for (auto& line : lines) {
        auto server = line.field("server");
        if (isSuspicion(line) && line.field("fingerprint") == fingerprint && !server.empty() && server != "-")
            servers.insert(server);
    }
    return servers.empty() ? "no server that these logs name" : fmt::format("{}", fmt::join(servers, ", "));
}

bool isContext(const LogLine& line, const std::set<std::string>& servers, const std::string& entry)
{
    if (line.field("id").empty() && servers.contains(line.field("server")))
        return true;
    if (line.event == "GroupSeen" || line.event == "GroupHeld" || line.event == "EngineSilent")
        return true;
    bool isOfEntry = line.process == entry;
    bool isBelief = line.event == "SettingsInForce" || line.event == "PlatformUnreachable" || line.event == "PlatformReachable" || line.event == "ProcessStarted"
        || line.event == "ProcessStopping" || line.event == "LinesDropped";
    return isOfEntry && isBelief;
}

/// Why a request ended as it did, from its last line.
std::string causeOf(const LogLine& end, const Lines& lines)
{
    auto reason = end.field("reason");
    auto part = [&](const char* name) { return end.field(name); };
    if (end.event == "RequestServed")
        return fmt::format("answered by the last of {} in {} ms, the first byte after {} ms", part("servers"), part("ms"), part("first-ms"));
    if (reason == "limited")
        return fmt::format("refused: by the limits that its backend servers name, {} had no room in time; it has not run", part("service"));
    if (reason == "resting")
        return fmt::format("refused: all backend servers of {} that it might have gone to had asked this entry for rests that were not over in time; it has not run", part("service"));
    if (reason == "overloaded")
        return fmt::format("refused for want of room: {} of the places of {} were taken and {} requests waited at the entry; it has not run", part("occupancy"), part("service"), part("waiting"));
    if (reason == "no-server")
        return fmt::format("refused: {} had no backend server that may get work; it has not run", part("service"));
    if (reason == "no-home-server")
        return fmt::format("refused: {} had no backend server that may get work in the homes of the request's route and organisation; it has not run", part("service"));
    if (reason == "no-common-home")
        return "refused: the homes of the request's route and those of its organisation have no region in common; it has not run";
    if (reason == "quarantined")
        return fmt::format("refused: {} was in flight when {} crashed; {}", suspectOf(end), crashedServers(lines, causeFingerprint(end)), part("verdict") == "not-run" ? "it has not run" : "this attempt may have run");
    if (reason == "suspect-running")
        return fmt::format("refused: {} was in flight when {} crashed, and another request with it was running; it has not run", suspectOf(end), crashedServers(lines, causeFingerprint(end)));
    if (reason == "stopping")
        return fmt::format("the entry was being stopped and the response would not have ended before it; {}", part("verdict") == "not-run" ? "refused, it has not run" : "it may have run");
    if (reason == "tries-spent")
        return fmt::format("refused after {} tries, none of which ran it; the tries say why", part("attempts"));
    if (reason == "lost")
        return fmt::format("its backend server broke off after the request was sent; it may have run at {}", part("servers"));
    if (reason == "timed-out")
        return fmt::format("not answered by {} before the deadline; it may have run", part("servers"));
    if (reason == "server-error")
        return fmt::format("the backend server answered with status {}; passed on", part("status"));
    if (reason == "client-left")
        return "the client closed its connection, or its sending side, before the end; what was in progress was cancelled";
    if (reason == "client-reset")
        return "the client or the network reset the connection before the end; what was in progress was cancelled";
    if (reason == "client-stalled")
        return fmt::format("the client accepted its response too slowly and was cut off with {} bytes unacknowledged", part("undelivered"));
    if (reason == "memory-needed")
        return fmt::format("the entry needed the memory of the response for others, and no other was on its way to its client for longer; {} bytes were unacknowledged", part("undelivered"));
    if (reason == "entry-ended")
        return "the entry ended with the request in progress and reset the client's connection";
    if (reason == "unknown-key" || reason == "no-such-route")
        return fmt::format("turned away: {} in configuration {}; it has not run", reason, part("configuration"));
    return fmt::format("answered by the entry: {}", reason);
}

struct Explanation {
    Lines own;
    Lines context;
    std::string cause;
};

std::optional<Explanation> explain(const std::string& id, const Lines& lines)
{
    Explanation out;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(out.own), [&](auto& line) { return line.field("id") == id; });
    if (out.own.empty())
        return std::nullopt;
    auto servers = serversOf(out.own);
    auto from = out.own.front().time - contextAround;
    auto until = out.own.back().time + contextAround;
    for (auto& line : lines) {
        bool isOfSameContent = isSuspicion(line) && line.field("fingerprint") == causeFingerprint(out.own.back());
        bool isNear = line.time >= from && line.time <= until && !isSuspicion(line) && isContext(line, servers, out.own.back().process);
        if (isOfSameContent || isNear)
            out.context.push_back(line);
    }
    out.cause = causeOf(out.own.back(), lines);
    return out;
}

void print(const std::string& id, const Explanation& explanation, bool isJson, const Console& console)
{
    auto texts = [](const Lines& lines) {
        boost::json::array out;
        for (auto& line : lines)
            out.emplace_back(line.text);
        return out;
    };
    if (isJson) {
        boost::json::object out { { "id", id }, { "cause", explanation.cause }, { "lines", texts(explanation.own) }, { "context", texts(explanation.context) } };
        console.out(boost::json::serialize(out) + "\n");
        return;
    }
    console.out(fmt::format("request {}: {}\n\nits lines\n", id, explanation.cause));
    for (auto& line : explanation.own)
        console.out(fmt::format("  {}\n", line.text));
    console.out("\nmeanwhile\n");
    for (auto& line : explanation.context)
        console.out(fmt::format("  {}\n", line.text));
}

} // namespace

ExitCode runExplain(const Command& command, const Arguments& arguments, const Console& console)
{
    Options options(command);
    if (!options.parse(arguments, console))
        return ExitCode::Ok;
    constexpr std::size_t mostFiles = 10'000;
    auto operands = options.operands(1, mostFiles);
    auto id = operands.front();
    auto explanation = explain(id, readAll(Arguments(operands.begin() + 1, operands.end())));
    if (!explanation) {
        console.err(fmt::format("swiftloft-ctl: no line of these logs is about request {}; give the logs of all entries of that time\n", id));
        return ExitCode::Finding;
    }
    print(id, *explanation, options.isJson(), console);
    return ExitCode::Ok;
}

} // namespace swiftloft::ctl
