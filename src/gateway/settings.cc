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

/// Assigns a value. Returns an empty text, or what was expected when the value is invalid.
using Setter = std::function<std::string(const std::string& value)>;
using Setters = std::map<std::string, Setter>;

Setter textSetter(std::string& target)
{
    return [&target](const std::string& value) {
        target = value;
        return std::string(value.empty() ? "a name" : "");
    };
}

Setter nameSetter(DataCentreName& target)
{
    return [&target](const std::string& value) {
        target = DataCentreName(value);
        return std::string(value.empty() ? "a name" : "");
    };
}

Setter endpointSetter(Endpoint& target)
{
    return [&target](const std::string& value) {
        auto endpoint = process::parseEndpoint(value);
        if (endpoint)
            target = *endpoint;
        return std::string(endpoint ? "" : "IP:PORT");
    };
}

Setter endpointListSetter(std::vector<Endpoint>& target)
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

Setter numberSetter(std::function<void(double)> assign, double min, double max)
{
    return [assign = std::move(assign), min, max](const std::string& value) {
        double number = 0;
        auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), number);
        bool isValid = ec == std::errc() && end == value.data() + value.size() && number >= min && number <= max;
        if (isValid)
            assign(number);
        return isValid ? std::string() : fmt::format("a number from {} to {}", min, max);
    };
}

Setter switchSetter(bool& target)
{
    return [&target](const std::string& value) {
        bool isValid = value == "on" || value == "off";
        target = isValid ? value == "on" : target;
        return std::string(isValid ? "" : "on or off");
    };
}

Setter secondsSetter(milliseconds& target, double min, double max)
{
    return numberSetter([&target](double seconds) { target = milliseconds(std::llround(seconds * 1000)); }, min, max);
}

/// Optional keys that begin with `prefix` and end with a name; each has a name as its value.
struct KeyFamily {
    std::string prefix;
    std::map<std::string, std::string> values;
};

/// Assigns a value to a key of a family. Returns an empty text, or what was expected when the key or value is invalid.
std::string assignTo(KeyFamily& family, const std::string& key, const std::string& value)
{
    auto name = key.substr(family.prefix.size());
    if (name.empty())
        return "a name after the key's point";
    family.values[name] = value;
    return value.empty() ? "a name" : "";
}

Result<void> readSection(const std::string& text, const std::string& fileName, const std::string& name, const Setters& setters, std::vector<std::string> optional, KeyFamily* family = nullptr)
{
    std::vector<std::string> keys;
    for (auto& [key, setter] : setters)
        keys.push_back(key);
    process::IniSection section;
    section.name = name;
    section.assign = [&](const std::string& key, const std::string& value) {
        if (family && key.starts_with(family->prefix))
            return assignTo(*family, key, value);
        auto it = setters.find(key);
        return it == setters.end() ? fmt::format("one of the keys {}", fmt::join(keys, ", ")) : it->second(value);
    };
    for (auto& key : keys) {
        if (std::find(optional.begin(), optional.end(), key) == optional.end())
            section.required.push_back(key);
    }
    return process::readIniSection(text, fileName, section);
}

Result<DataCentreRegions> regionsFrom(const KeyFamily& keys, const DataCentreName& own, const std::string& fileName)
{
    std::map<DataCentreName, RegionName> regions;
    for (auto& [dataCentre, region] : keys.values)
        regions.emplace(dataCentre, region);
    if (!regions.empty() && !regions.contains(own))
        return Error { ErrorCode::InvalidArgument, fmt::format("{}: key '{}{}' is missing: other data centres have a region, so this one needs one", fileName, keys.prefix, own.value()) };
    auto created = DataCentreRegions::create(std::move(regions));
    if (!created)
        return Error { ErrorCode::InvalidArgument, fmt::format("{}: keys '{}...': {}", fileName, keys.prefix, created.error().message) };
    return created;
}

constexpr double maxPort = 65535;
constexpr double maxSeconds = 3600;
constexpr double minApplyMs = 100;
constexpr double maxEntries = 100'000;
constexpr double bytesPerMegabyte = 1 << 20;
constexpr double minMemoryMb = 64;
constexpr double maxMemoryMb = 1 << 20;
constexpr double minDescriptors = 128;
constexpr double maxDescriptors = 1 << 24;

} // namespace

Result<EntrySettings> parseEntrySettings(const std::string& text, const std::string& fileName)
{
    EntrySettings settings;
    KeyFamily regions { "region.", {} };
    Setters setters {
        { "id", textSetter(settings.id) },
        { "data-centre", nameSetter(settings.dataCentre) },
        { "clients", endpointSetter(settings.clients) },
        { "ready", endpointSetter(settings.ready) },
        { "directory", endpointSetter(settings.directory) },
        { "peers", endpointSetter(settings.peers) },
        { "load", endpointSetter(settings.load) },
        { "agent-port", numberSetter([&](double port) { settings.agentPort = static_cast<unsigned short>(port); }, 1, maxPort) },
        { "metrics", endpointSetter(settings.metrics) },
        { "seeds", endpointListSetter(settings.seeds) },
        { "store", endpointSetter(settings.store) },
        { "retry-ratio", numberSetter([&](double ratio) { settings.retries.ratio = ratio; }, 0, 10) },
        { "retry-slack", numberSetter([&](double slack) { settings.retries.slack = slack; }, 0, 1e9) },
        { "retry-window-seconds", secondsSetter(settings.retries.window, 0.1, maxSeconds) },
        { "apply-within-ms", numberSetter([&](double ms) { settings.applyTimeout = milliseconds(std::llround(ms)); }, minApplyMs, 1000 * maxSeconds) },
        { "cold-overshoot", numberSetter([&](double factor) { settings.coldLimits.overshoot = factor; }, 0, 1000) },
        { "cold-slack", numberSetter([&](double slack) { settings.coldLimits.slack = slack; }, 0, 1e9) },
        { "estimate", switchSetter(settings.estimate.isEnabled) },
        { "stop-within-seconds", secondsSetter(settings.stopTimeout, 0.1, maxSeconds) },
        { "directory-kept-seconds", secondsSetter(settings.directoryMaxAge, 0, maxSeconds) },
        { "startup-wait", switchSetter(settings.waitsAtStart) },
        { "urgency", switchSetter(settings.isUrgencyOn) },
        { "memory-mb", numberSetter([&](double mb) { settings.resources.memoryBytes = static_cast<std::size_t>(mb * bytesPerMegabyte); }, minMemoryMb, maxMemoryMb) },
        { "descriptors", numberSetter([&](double n) { settings.resources.descriptors = static_cast<std::size_t>(n); }, minDescriptors, maxDescriptors) },
        { "least-entries", numberSetter([&](double n) { settings.minEntries = static_cast<std::size_t>(n); }, 1, maxEntries) },
    };
    auto read = readSection(text, fileName, "entry", setters, { "apply-within-ms", "cold-overshoot", "cold-slack", "descriptors", "estimate", "memory-mb", "seeds", "least-entries", "startup-wait", "urgency" }, &regions);
    if (!read)
        return read.error();
    auto created = regionsFrom(regions, settings.dataCentre, fileName);
    if (!created)
        return created.error();
    settings.regions = *created;
    return settings;
}

Result<AgentSettings> parseAgentSettings(const std::string& text, const std::string& fileName)
{
    AgentSettings settings;
    Setters setters {
        { "id", textSetter(settings.id) },
        { "data-centre", nameSetter(settings.dataCentre) },
        { "engine", endpointSetter(settings.engine) },
        { "news", endpointSetter(settings.control) },
        { "metrics", endpointSetter(settings.metrics) },
        { "group", endpointSetter(settings.group) },
        { "entries", endpointListSetter(settings.entries) },
        { "load-half-life-seconds", secondsSetter(settings.loadHalfLife, 0.01, maxSeconds) },
        { "least-gain", numberSetter([&](double gain) { settings.minGain = gain; }, 0, 1) },
        { "copy-within-seconds", numberSetter([&](double time) { settings.maxCopyTime = milliseconds(std::llround(time * 1000)); }, 0.001, maxSeconds) },
        { "moved-gigabyte-price-seconds", numberSetter([&](double price) { settings.movedGigabytePrice = price; }, 0, maxSeconds) },
    };
    auto read = readSection(text, fileName, "agent", setters, { "entries", "load-half-life-seconds", "least-gain", "copy-within-seconds", "moved-gigabyte-price-seconds" });
    if (!read)
        return read.error();
    return settings;
}

} // namespace swiftloft::gateway
