#include "src/process/process-config.h"

#include "src/process/ini-reader.h"

#include <fmt/format.h>

#include <charconv>

namespace swiftloft::process {

namespace {

constexpr unsigned maxTrafficThreads = 64;
constexpr std::size_t bytesPerMegabyte = std::size_t { 1 } << 20;
constexpr unsigned minMemoryMb = 64;
constexpr unsigned maxMemoryMb = 1 << 20;
constexpr unsigned minDescriptors = 128;
constexpr unsigned maxDescriptors = 1 << 24;

std::optional<unsigned> parseNumber(std::string_view text, unsigned most)
{
    unsigned n = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size() || n > most)
        return std::nullopt;
    return n;
}

std::string assignText(std::string& target, const std::string& value)
{
    target = value;
    return value.empty() ? "a name" : "";
}

std::string assignEndpoint(Endpoint& target, const std::string& value)
{
    auto endpoint = parseEndpoint(value);
    if (!endpoint)
        return "IP:PORT";
    target = *endpoint;
    return "";
}

/// Returns what was expected when the value is not it, or an empty string.
std::string assign(ProcessConfig& config, const std::string& key, const std::string& value)
{
    if (key == "id")
        return assignText(config.id, value);
    if (key == "data-centre") {
        config.dataCentre = DataCentreName(value);
        return value.empty() ? "a name" : "";
    }
    if (key == "listen")
        return assignEndpoint(config.listen, value);
    if (key == "peer")
        return assignEndpoint(config.peer, value);
    if (key == "platform")
        return assignEndpoint(config.platform, value);
    if (key == "rpc")
        return assignEndpoint(config.rpc.emplace(), value);
    if (key == "backend-server")
        return assignEndpoint(config.backendServer.emplace(), value);
    if (key == "first-start") {
        config.isFirstStart = value == "yes";
        return value == "yes" || value == "no" ? "" : "yes or no";
    }
    if (key == "memory-mb") {
        auto n = parseNumber(value, maxMemoryMb).value_or(0);
        config.resources.memoryBytes = n * bytesPerMegabyte;
        return n < minMemoryMb ? fmt::format("a number from {} to {}", minMemoryMb, maxMemoryMb) : "";
    }
    if (key == "descriptors") {
        auto n = parseNumber(value, maxDescriptors).value_or(0);
        config.resources.descriptors = n;
        return n < minDescriptors ? fmt::format("a number from {} to {}", minDescriptors, maxDescriptors) : "";
    }
    if (key == "traffic-threads") {
        auto n = parseNumber(value, maxTrafficThreads);
        config.trafficThreads = n.value_or(0);
        return config.trafficThreads == 0 ? fmt::format("a number from 1 to {}", maxTrafficThreads) : "";
    }
    return "one of the keys id, data-centre, listen, peer, rpc, platform, backend-server, first-start, traffic-threads, memory-mb, descriptors";
}

} // namespace

Result<Endpoint> parseEndpoint(const std::string& text)
{
    Error error { ErrorCode::MalformedInput, fmt::format("'{}' is no address; expected IP:PORT", text) };
    auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return error;
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    auto address = boost::asio::ip::make_address(host, ec);
    auto port = parseNumber(std::string_view(text).substr(colon + 1), 65535);
    if (ec || !port)
        return error;
    return Endpoint(address, static_cast<unsigned short>(*port));
}

Result<ProcessConfig> parseProcessConfig(const std::string& text, const std::string& fileName)
{
    ProcessConfig config;
    IniSection section;
    section.name = "process";
    section.assign = [&](const std::string& key, const std::string& value) { return assign(config, key, value); };
    section.required = { "id", "data-centre", "listen", "peer", "platform" };
    auto read = readIniSection(text, fileName, section);
    if (!read)
        return read.error();
    return config;
}

Result<ProcessConfig> readProcessConfig(const std::string& fileName)
{
    auto text = readTextFile(fileName);
    if (!text)
        return text.error();
    return parseProcessConfig(*text, fileName);
}

} // namespace swiftloft::process
