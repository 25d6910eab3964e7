#include "review/rig-2.h"

#include <array>

using namespace swiftloft::review;

namespace {

constexpr int serverCount = 3;
constexpr int streamCount = 2;
constexpr int eventCount = 8;
constexpr milliseconds eventInterval { 60 };
/// Number of the event after which the engine preempts the stream.
constexpr int preemptedAfter = 3;
/// Clients abandon a stream after a gap of two seconds.
constexpr milliseconds preemptionTime { 1700 };

/// Streams of the first route cannot be resumed, and those of the second one can.
const std::array<std::string, streamCount> paths { "/note/1", "/draft/1" };

const std::string configuration = R"({"version":7,"routes":[)"
                                  R"({"name":"note","host":"h.example","prefix":"/note/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"priority":1,"service":"dispatch-llm","maxAttempts":2,"public":false,"sticky":true,"resumable":false,"gapAimMs":120},)"
                                  R"({"name":"draft","host":"h.example","prefix":"/draft/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"priority":1,"service":"dispatch-llm","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":120}],)"
                                  R"("services":[{"name":"dispatch-llm","healthPath":"/health","maxConnections":178}],)"
                                  R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
                                  R"("tenants":[{"name":"ward-office","apiKeys":["key-1"]}]})";

/// An engine: it writes all events of each stream. If `isMemoryShort`, it preempts a stream once, and has no room for a stream
/// that another engine began.
struct Engine {
    Engine(std::string serverId, std::atomic<bool>& isMemoryShort, std::atomic<int>& streamsBegun, Record& record)
        : id(std::move(serverId))
        , server([this, &isMemoryShort, &streamsBegun, &record](auto& connection, auto& request) { return answer(connection, request, isMemoryShort, streamsBegun, record); })
    {
    }

    bool answer(Connection& connection, const Message& request, std::atomic<bool>& isMemoryShort, std::atomic<int>& streamsBegun, Record& record) const
    {
        auto requestId = request.header("X-Request-Id");
        auto echo = "X-Request-Id: " + requestId + "\r\n";
        if (request.header("X-Expect-Instance") != id)
            return connection.send(response(421, "Misdirected Request", echo + "X-Instance-Id: " + id + "\r\n", ""));
        if (isMemoryShort && !request.header("Last-Event-Id").empty()) {
            record.line(id + " has no room for " + requestId + ", which begins after event " + request.header("Last-Event-Id"));
            return connection.send(response(503, "Service Unavailable", echo + "X-Not-Executed: 1\r\n", ""));
        }
        record.line(id + " runs " + requestId);
        connection.send("HTTP/1.1 200 OK\r\n" + echo + "X-Response-Stamp: stamp-" + requestId + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int n = 1; n <= eventCount; ++n) {
            sleepFor(eventInterval);
            if (isMemoryShort && n == preemptedAfter + 1) {
                record.line(id + " preempts " + requestId + " for " + std::to_string(preemptionTime.count()) + " ms");
                sleepFor(preemptionTime);
            }
            auto event = "id: " + std::to_string(n) + "\ndata: " + requestId + "\n\n";
            std::ostringstream chunk;
            chunk << std::hex << event.size() << "\r\n"
                  << event << "\r\n";
            if (!connection.send(chunk.str())) {
                record.line(id + ": the connection of " + requestId + " is closed before event " + std::to_string(n));
                return false;
            }
            if (n == 1)
                ++streamsBegun;
        }
        record.line(id + " has written all events of " + requestId);
        return connection.send("0\r\n\r\n");
    }

    std::string id;
    Server server;
};

std::string requestText(const std::string& path, const std::string& id)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Api-Key: key-1\r\nX-Deadline-Ms: 8000\r\nX-Model: m\r\nX-Token-Usage: 700,80\r\nContent-Length: 4\r\n\r\nwork";
}

/// True if the client gets the whole stream.
bool isServed(Connection& connection, const std::string& path, const std::string& id)
{
    if (!connection.send(requestText(path, id)))
        return false;
    auto answer = connection.read(Clock::now() + seconds(9));
    return answer && answer->status() == 200 && answer->body.find("id: " + std::to_string(eventCount) + "\n") != std::string::npos;
}

} // namespace

int main(int, char** arguments)
{
    Record record(arguments[1]);
    TemporaryFolder folder;
    Store store;
    std::atomic<bool> isMemoryShort { false };
    std::atomic<int> streamsBegun { 0 };
    std::vector<std::unique_ptr<Engine>> engines;
    store.put("op/config", configuration);
    for (int n = 0; n < serverCount; ++n) {
        engines.push_back(std::make_unique<Engine>("engine-" + std::to_string(n), isMemoryShort, streamsBegun, record));
        store.put("servers/" + engines.back()->id, serverEntry("dispatch-llm", engines.back()->server.port(), 12));
    }
    Entry entry("front-1", folder.path(), store.port());
    entry.start();
    if (!entry.waitUntilReady()) {
        record.line("the entry is not ready");
        return couldNotRun;
    }
    // Longer than `stableWindowMs` and `budgetWindowS`.
    sleepFor(milliseconds(11000));
    std::vector<std::unique_ptr<Connection>> connections;
    for (int n = 0; n < streamCount; ++n) {
        connections.push_back(Connection::open(entry.clients));
        if (!connections.back() || !isServed(*connections.back(), paths[static_cast<std::size_t>(n)], "first-" + std::to_string(n))) {
            record.line("a stream was not served before the stop");
            return couldNotRun;
        }
    }
    streamsBegun = 0;
    isMemoryShort = hasTrouble();
    std::atomic<int> cut { 0 };
    std::vector<std::thread> clients;
    clients.reserve(streamCount);
    for (int n = 0; n < streamCount; ++n) {
        clients.emplace_back([&, n] {
            auto& path = paths[static_cast<std::size_t>(n)];
            auto id = "stream-" + std::to_string(n);
            bool isWhole = isServed(*connections[static_cast<std::size_t>(n)], path, id);
            auto line = "the client of " + id;
            line += isWhole ? " has the whole stream of " : " has lost its connection without the whole stream of ";
            line += path;
            record.line(line);
            cut += !isWhole;
        });
    }
    auto until = Clock::now() + seconds(3);
    while (streamsBegun < streamCount && Clock::now() < until)
        sleepFor(milliseconds(2));
    record.line("SIGTERM to the entry");
    entry.process->signal(SIGTERM);
    for (auto& it : clients)
        it.join();
    bool hasEnded = entry.process->waitForExit(seconds(10));
    record.line(std::string("the entry ") + (hasEnded ? "has ended" : "has not ended") + "; " + std::to_string(cut) + " of " + std::to_string(streamCount) + " streams were cut; " + (cut > 0 ? "BROKEN" : "held"));
    return cut > 0 ? ruleBroken : ruleHeld;
}
