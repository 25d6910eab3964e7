#include "src/gateway/settings.h"

#include "src/process/ini-reader.h"
#include "src/process/process-config.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <charconv>
#include <cmath>
#include <functional>
#include <map>

namespace swiftloft::gateway {

namespace {

/// Takes a value; returns what was expected when the value is not it.
using Setter = std::function<std::string(const std::string& value)>;
using Setters = std::map<std::string, Setter>;

Setter textInto(std::string& target)
{
    return [&target](const std::string& value) {
        target = value;
        return std::string(value.empty() ? "a name" : "");
    };
}

Setter nameInto(DataCentreName& target)
{
    return [&target](const std::string& value) {
        target = DataCentreName(value);
        return std::string(value.empty() ? "a name" : "");
    };
}

Setter endpointInto(Endpoint& target)
{
    return [&target](const std::string& value) {
        auto endpoint = process::parseEndpoint(value);
        if (endpoint)
            target = *endpoint;
        return std::string(endpoint ? "" : "IP:PORT");
    };
}

Setter endpointsInto(std::vector<Endpoint>& target)
{
    return [&target](const std::string& value) -> std::string {
        std::size_t begin = 0;
        while (begin < value.size()) {
            auto end = std::min(value.find(',', begin), value.size());
            auto endpoint = process::parseEndpoint(value.substr(begin, end - begin));
            if (!endpoint)
                return "IP:PORT,IP:PORT,...";
            target.push_back(*endpoint);
            begin = end + 1;
        }
        return "";
    };
}

Setter numberInto(std::function<void(double)> take, double least, double most)
{
    return [take = std::move(take), least, most](const std::string& value) {
        double number = 0;
        auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), number);
        bool isGood = ec == std::errc() && end == value.data() + value.size() && number >= least && number <= most;
        if (isGood)
            take(number);
        return isGood ? std::string() : fmt::format("a number from {} to {}", least, most);
    };
}

Setter secondsInto(milliseconds& target, double least, double most)
{
    return numberInto([&target](double seconds) { target = milliseconds(std::llround(seconds * 1000)); }, least, most);
}

Result<void> readSection(const std::string& text, const std::string& fileName, const std::string& name, const Setters& setters, std::vector<std::string> optional)
{
    std::vector<std::string> keys;
    for (auto& [key, setter] : setters)
        keys.push_back(key);
    process::IniSection section;
    section.name = name;
    section.assign = [&](const std::string& key, const std::string& value) {
        auto it = setters.find(key);
        return it == setters.end() ? fmt::format("one of the keys {}", fmt::join(keys, ", ")) : it->second(value);
    };
    for (auto& key : keys) {
        if (std::find(optional.begin(), optional.end(), key) == optional.end())
            section.required.push_back(key);
    }
    return process::readIniSection(text, fileName, section);
}

constexpr double mostPort = 65535;
constexpr double mostSeconds = 3600;
constexpr double mostEntries = 100'000;

} // namespace

Result<EntrySettings> parseEntrySettings(const std::string& text, const std::string& fileName)
{
    EntrySettings settings;
    Setters setters {
        { "id", textInto(settings.id) },
        { "data-centre", nameInto(settings.dataCentre) },
        { "clients", endpointInto(settings.clients) },
        { "ready", endpointInto(settings.ready) },
        { "directory", endpointInto(settings.directory) },
        { "peers", endpointInto(settings.peers) },
        { "load", endpointInto(settings.load) },
        { "agent-port", numberInto([&](double port) { settings.agentPort = static_cast<unsigned short>(port); }, 1, mostPort) },
        { "metrics", endpointInto(settings.metrics) },
        { "seeds", endpointsInto(settings.seeds) },
        { "store", endpointInto(settings.store) },
        { "retry-ratio", numberInto([&](double ratio) { settings.retries.ratio = ratio; }, 0, 10) },
        { "retry-slack", numberInto([&](double slack) { settings.retries.slack = slack; }, 0, 1e9) },
        { "retry-window-seconds", secondsInto(settings.retries.window, 0.1, mostSeconds) },
        { "stop-within-seconds", secondsInto(settings.stopWithin, 0.1, mostSeconds) },
        { "directory-kept-seconds", secondsInto(settings.directoryKept, 0, mostSeconds) },
        { "least-entries", numberInto([&](double n) { settings.leastEntries = static_cast<std::size_t>(n); }, 1, mostEntries) },
    };
    auto read = readSection(text, fileName, "entry", setters, { "seeds", "least-entries" });
    if (!read)
        return read.error();
    return settings;
}

Result<AgentSettings> parseAgentSettings(const std::string& text, const std::string& fileName)
{
    AgentSettings settings;
    Setters setters {
        { "id", textInto(settings.id) },
        { "data-centre", nameInto(settings.dataCentre) },
        { "engine", endpointInto(settings.engine) },
        { "news", endpointInto(settings.news) },
        { "metrics", endpointInto(settings.metrics) },
        { "group", endpointInto(settings.group) },
        { "entries", endpointsInto(settings.entries) },
        { "load-half-life-seconds", secondsInto(settings.loadHalfLife, 0.01, mostSeconds) },
        { "least-gain", numberInto([&](double gain) { settings.leastGain = gain; }, 0, 1) },
        { "copy-within-seconds", secondsInto(settings.copyWithin, 0.001, mostSeconds) },
    };
    auto read = readSection(text, fileName, "agent", setters, { "entries", "load-half-life-seconds", "least-gain", "copy-within-seconds" });
    if (!read)
        return read.error();
    return settings;
}

} // namespace swiftloft::gateway
