#include "test/process/fleet.h"

#include "standin/answer-text.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <xxhash.h>

#include <fstream>

namespace swiftloft::process_test {

namespace json = boost::json;

namespace {

constexpr seconds readyLimit { 30 };
const char* const dataCentres[] = { "north", "south" };

std::string loopback(int port)
{
    return fmt::format("127.0.0.1:{}", port);
}

const char* dataCentreOf(std::size_t n)
{
    return dataCentres[n % std::size(dataCentres)];
}

json::object listed(const std::string& id, const char* role, int port, int peerPort, std::size_t n)
{
    return { { "id", id }, { "role", role }, { "address", loopback(port) }, { "peer", loopback(peerPort) }, { "data_centre", dataCentreOf(n) }, { "state", "live" } };
}

std::unique_ptr<ChildProcess> startDaemon(const std::string& program, const std::string& file, int descriptors = 0)
{
    ChildProcess::Options options;
    options.waitsForListening = false;
    return ChildProcess::start({ "/bin/sh", "-c", fmt::format("{}exec {} --config {}", limitDescriptors(descriptors), builtProgram(program), file) }, options).value();
}

bool answersOk(const std::string& address, const std::string& target)
{
    auto answer = call({ address, "GET", target, "", {}, milliseconds(500) });
    return answer.end == replay::ExchangeEnd::Whole && answer.head.result_int() == 200;
}

} // namespace

std::string Fleet::Server::backendAddress() const
{
    return loopback(backendPort);
}

std::string Fleet::Server::statusAddress() const
{
    return loopback(statusPort);
}

std::string Fleet::Entry::address() const
{
    return loopback(port);
}

Fleet::Fleet(Options options)
    : m_options(std::move(options))
{
    for (std::size_t n = 0; n < m_options.engines + m_options.plainServers; ++n) {
        auto isEngine = n < m_options.engines;
        Server server;
        server.id = isEngine ? fmt::format("engine-{}", n + 1) : fmt::format("plain-{}", n - m_options.engines + 1);
        server.service = isEngine ? "model" : "plain";
        server.backendPort = freePort();
        server.rpcPort = freePort();
        server.peerPort = freePort();
        server.statusPort = freePort();
        if (m_options.hasRelays)
            server.relay = std::make_unique<Relay>(loopback(server.rpcPort));
        m_servers.push_back(std::move(server));
    }
    for (std::size_t n = 0; n < m_options.entries; ++n)
        m_entries.push_back({ fmt::format("entry-{}", n + 1), freePort(), freePort(), nullptr });
    auto settings = writeFile(m_folder.path() + "/settings.ini", settingsText());
    auto instances = writeFile(m_folder.path() + "/instances.json", instancesJson());
    m_platform = ChildProcess::start({ builtProgram("standin/standin-platform"), "--settings", settings, "--instances", instances }, {}).value();
    for (auto& server : m_servers) {
        startBackend(server);
        startAgent(server, true);
    }
    for (auto& entry : m_entries)
        startEntry(entry, true);
}

std::string Fleet::writeFile(const std::string& name, const std::string& text)
{
    std::ofstream(name) << text;
    return name;
}

std::string Fleet::settingsText() const
{
    return fmt::format(R"([defaults]
requires-key = no
entries-keep-time = {}
[data-centre north]
region = home
[data-centre south]
region = home
[service model]
kind = model
repeatable-methods = GET, HEAD, POST
[service plain]
kind = plain
[organisation caller]
requests-per-second = 100000/s
tokens-per-second = 100000000/s
max-in-flight = 10000
{}
)",
        m_options.keepTime, m_options.settings);
}

std::string Fleet::instancesJson() const
{
    json::array rows;
    for (std::size_t n = 0; n < m_entries.size(); ++n)
        rows.push_back(listed(m_entries[n].id, "entry", m_entries[n].port, m_entries[n].peerPort, n));
    for (std::size_t n = 0; n < m_servers.size(); ++n) {
        auto& server = m_servers[n];
        auto row = listed(server.id, "agent", server.rpcPort, server.peerPort, n);
        if (server.relay)
            row["address"] = server.relay->address();
        row["service"] = server.service;
        if (m_options.isRankGroup && n < m_options.engines) {
            row["group"] = "ranks";
            row["rank"] = n;
        }
        rows.push_back(std::move(row));
    }
    return json::serialize(json::object { { "revision", 1 }, { "instances", std::move(rows) } });
}

void Fleet::publishInstances()
{
    callJson({ platformAddress(), "PUT", "/admin/instances", instancesJson() });
}

void Fleet::publishSettings(const std::string& text)
{
    callJson({ platformAddress(), "PUT", "/admin/settings", text });
}

void Fleet::startBackend(Server& server)
{
    auto isEngine = server.service == "model";
    std::vector<std::string> command { builtProgram(isEngine ? "standin/standin-engine" : "standin/standin-plain"), "--listen", server.backendAddress() };
    if (isEngine) {
        command.insert(command.end(), { "--run-log", fmt::format("{}/{}.runs", m_folder.path(), server.id) });
        command.insert(command.end(), m_options.engineOptions.begin(), m_options.engineOptions.end());
    }
    if (isEngine && m_options.isRankGroup) {
        std::vector<std::string> peers;
        for (std::size_t n = 0; n < m_options.engines; ++n)
            peers.push_back(m_servers[n].backendAddress());
        command.insert(command.end(), { "--rank", std::to_string(&server - m_servers.data()), "--group-peers", fmt::format("{}", fmt::join(peers, ",")) });
    }
    server.backend = ChildProcess::start(std::move(command), {}).value();
}

void Fleet::startAgent(Server& server, bool isFirstStart)
{
    auto n = static_cast<std::size_t>(&server - m_servers.data());
    auto file = writeFile(fmt::format("{}/{}.ini", m_folder.path(), server.id),
        fmt::format("[process]\nid = {}\ndata-centre = {}\nlisten = {}\npeer = {}\nrpc = {}\nplatform = {}\nbackend-server = {}\nfirst-start = {}\n", server.id, dataCentreOf(n),
            server.statusAddress(), loopback(server.peerPort), loopback(server.rpcPort), platformAddress(), server.backendAddress(), isFirstStart ? "yes" : "no"));
    server.agent = startDaemon("src/agent/swiftloft-agent", file);
}

void Fleet::startEntry(Entry& entry, bool isFirstStart)
{
    auto n = static_cast<std::size_t>(&entry - m_entries.data());
    auto file = writeFile(fmt::format("{}/{}.ini", m_folder.path(), entry.id),
        fmt::format("[process]\nid = {}\ndata-centre = {}\nlisten = {}\npeer = {}\nplatform = {}\nfirst-start = {}\n", entry.id, dataCentreOf(n), entry.address(),
            loopback(entry.peerPort), platformAddress(), isFirstStart ? "yes" : "no"));
    entry.process = startDaemon("src/entry/swiftloft-entry", file, m_options.entryDescriptors);
}

std::string Fleet::stateOf(const Entry& entry, const std::string& serverId)
{
    auto answer = call({ entry.address(), "GET", "/swiftloft/v1/status", "", {}, milliseconds(500) });
    if (answer.end != replay::ExchangeEnd::Whole)
        return "";
    auto status = json::parse(answer.body);
    for (auto& row : status.at("backend_servers").as_array()) {
        if (json::value_to<std::string>(row.at("id")) == serverId)
            return json::value_to<std::string>(row.at("state"));
    }
    return "";
}

bool Fleet::waitUntilReady()
{
    return waitUntil(Clock::now() + readyLimit, [this] {
        for (auto& entry : m_entries) {
            if (!answersOk(entry.address(), "/readyz"))
                return false;
            for (auto& server : m_servers) {
                if (stateOf(entry, server.id) != "up")
                    return false;
            }
        }
        return true;
    });
}

std::size_t Fleet::runsOf(const std::string& body)
{
    auto fingerprint = fmt::format("{:016x}", XXH64(body.data(), body.size(), 0));
    std::size_t n = 0;
    for (auto& server : m_servers) {
        auto runs = callJson({ server.backendAddress(), "GET", "/admin/runs" });
        for (auto& run : runs.as_array())
            n += json::value_to<std::string>(run.at("fingerprint")) == fingerprint;
    }
    return n;
}

std::size_t Fleet::runsAt(const Server& server)
{
    return callJson({ server.backendAddress(), "GET", "/admin/runs" }).as_array().size();
}

std::vector<std::string> Fleet::keysInProgress(const Server& server)
{
    std::vector<std::string> keys;
    auto runs = callJson({ server.backendAddress(), "GET", "/admin/runs" });
    for (auto& run : runs.as_array()) {
        if (run.at("finished").as_int64() == 0)
            keys.push_back(json::value_to<std::string>(run.at("idempotency_key")));
    }
    return keys;
}

HttpCall completion(const Fleet::Entry& entry, const std::string& prompt, int tokens, bool isStream)
{
    json::object body { { "prompt", prompt }, { "max_tokens", tokens }, { "stream", isStream } };
    return { entry.address(), "POST", "/v1/completions", json::serialize(body), { { "Swiftloft-Service", "model" }, { "Swiftloft-Organisation", "caller" } } };
}

HttpCall order(const Fleet::Entry& entry, const std::string& body, int delayMs)
{
    return { entry.address(), "POST", fmt::format("/orders?delay_ms={}", delayMs), body, { { "Swiftloft-Service", "plain" }, { "Swiftloft-Organisation", "caller" } } };
}

std::string expectedText(const std::string& prompt, int tokens)
{
    return standin::answerText(0, tokens, standin::promptHash(prompt));
}

std::string textOf(const replay::ExchangeResult& answer)
{
    if (!answer.body.starts_with("data: "))
        return json::value_to<std::string>(json::parse(answer.body).at("choices").at(0).at("text"));
    std::string text;
    std::istringstream lines(answer.body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("data: {\"choices\""))
            text += json::value_to<std::string>(json::parse(line.substr(6)).at("choices").at(0).at("text"));
    }
    return text;
}

std::string verdictOf(const replay::ExchangeResult& answer)
{
    return std::string(answer.head["Swiftloft-Verdict"]);
}

} // namespace swiftloft::process_test
