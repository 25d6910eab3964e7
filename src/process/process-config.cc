#include "src/process/process-config.h"

#include <fmt/format.h>
#include <ini.h>

#include <charconv>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

namespace swiftloft::process {

namespace {

constexpr unsigned maxTrafficThreads = 64;

std::optional<unsigned> parseNumber(std::string_view text, unsigned most)
{
    unsigned n = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size() || n > most)
        return std::nullopt;
    return n;
}

/// Feeds inih line by line and so knows the number of the line it is at.
class ConfigReader {
public:
    ConfigReader(const std::string& text, std::string fileName)
        : m_text(text)
        , m_fileName(std::move(fileName))
    {
    }

    Result<ProcessConfig> read()
    {
        auto line = ini_parse_stream(&ConfigReader::nextLine, this, &ConfigReader::onKey, this);
        if (m_error)
            return *m_error;
        if (line != 0)
            return problem(line, "expected 'key = value' or '[process]'");
        return finished();
    }

private:
    Error problem(int line, const std::string& text) const
    {
        return { ErrorCode::MalformedInput, fmt::format("{}:{}: {}", m_fileName, line, text) };
    }

    static char* nextLine(char* buf, int size, void* self)
    {
        auto reader = static_cast<ConfigReader*>(self);
        if (!reader->m_text.getline(buf, size))
            return nullptr;
        ++reader->m_line;
        return buf;
    }

    static int onKey(void* self, const char* section, const char* key, const char* value)
    {
        return static_cast<ConfigReader*>(self)->set(section, key, value) ? 1 : 0;
    }

    bool set(const std::string& section, const std::string& key, const std::string& value)
    {
        if (m_error)
            return false;
        if (section != "process") {
            m_error = problem(m_line, fmt::format("key '{}' stands in section '[{}]'; expected '[process]'", key, section));
            return false;
        }
        if (m_lineOfKey.contains(key)) {
            m_error = problem(m_line, fmt::format("key '{}' was already set on line {}", key, m_lineOfKey[key]));
            return false;
        }
        m_lineOfKey[key] = m_line;
        auto expected = assign(key, value);
        if (!expected.empty())
            m_error = problem(m_line, fmt::format("key '{}' has value '{}'; expected {}", key, value, expected));
        return expected.empty();
    }

    /// Returns what was expected when the value is not it, or an empty string.
    std::string assign(const std::string& key, const std::string& value)
    {
        if (key == "id")
            return assignText(m_config.id, value);
        if (key == "data-centre") {
            m_config.dataCentre = DataCentreName(value);
            return value.empty() ? "a name" : "";
        }
        if (key == "listen")
            return assignEndpoint(m_config.listen, value);
        if (key == "peer")
            return assignEndpoint(m_config.peer, value);
        if (key == "platform")
            return assignEndpoint(m_config.platform, value);
        if (key == "rpc")
            return assignEndpoint(m_config.rpc.emplace(), value);
        if (key == "backend-server")
            return assignEndpoint(m_config.backendServer.emplace(), value);
        if (key == "first-start") {
            m_config.isFirstStart = value == "yes";
            return value == "yes" || value == "no" ? "" : "yes or no";
        }
        if (key == "traffic-threads") {
            auto n = parseNumber(value, maxTrafficThreads);
            m_config.trafficThreads = n.value_or(0);
            return m_config.trafficThreads == 0 ? fmt::format("a number from 1 to {}", maxTrafficThreads) : "";
        }
        return "one of the keys id, data-centre, listen, peer, rpc, platform, backend-server, first-start, traffic-threads";
    }

    static std::string assignText(std::string& target, const std::string& value)
    {
        target = value;
        return value.empty() ? "a name" : "";
    }

    static std::string assignEndpoint(Endpoint& target, const std::string& value)
    {
        auto endpoint = parseEndpoint(value);
        if (!endpoint)
            return "IP:PORT";
        target = *endpoint;
        return "";
    }

    Result<ProcessConfig> finished() const
    {
        for (auto key : { "id", "data-centre", "listen", "peer", "platform" }) {
            if (!m_lineOfKey.contains(key))
                return Error { ErrorCode::MalformedInput, fmt::format("{}: key '{}' is missing from section '[process]'", m_fileName, key) };
        }
        return m_config;
    }

    std::istringstream m_text;
    std::string m_fileName;
    int m_line { 0 };
    std::map<std::string, int> m_lineOfKey;
    ProcessConfig m_config;
    std::optional<Error> m_error;
};

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
    return ConfigReader(text, fileName).read();
}

Result<ProcessConfig> readProcessConfig(const std::string& fileName)
{
    std::ifstream file(fileName);
    if (!file)
        return Error { ErrorCode::NotFound, fmt::format("{}: can't be read; expected a process file (see docs/REFERENCE.md)", fileName) };
    std::ostringstream text;
    text << file.rdbuf();
    return parseProcessConfig(text.str(), fileName);
}

} // namespace swiftloft::process
