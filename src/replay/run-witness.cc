#include "src/replay/run-witness.h"

#include <boost/json.hpp>

namespace swiftloft::replay {

namespace json = boost::json;

namespace {

constexpr int hexadecimal = 16;

std::string textOf(const json::object& object, const char* name)
{
    auto* value = object.if_contains(name);
    return value ? json::value_to<std::string>(*value) : std::string();
}

} // namespace

void RunCounts::add(const std::string& key, std::uint64_t fingerprint)
{
    if (!key.empty())
        ++byKey[key];
    ++byFingerprint[fingerprint];
}

void addRuns(const std::string& text, RunCounts& counts)
{
    auto runs = json::parse(text).as_array();
    for (auto& run : runs) {
        auto& object = run.as_object();
        // The caller's own key where it was passed on; the system may name requests in its own way.
        auto key = textOf(object, "idempotency_key");
        if (key.empty())
            key = textOf(object, "key");
        counts.add(key, std::stoull(textOf(object, "fingerprint"), nullptr, hexadecimal));
    }
}

boost::asio::awaitable<RunCounts> fetchRunCounts(HttpClient& client, std::vector<std::string> backendServers)
{
    RunCounts counts;
    for (auto& address : backendServers) {
        auto result = co_await client.fetch(address, "/admin/runs");
        try {
            if (result.end != ExchangeEnd::Whole)
                throw Exception({ ErrorCode::Unavailable, result.failure });
            addRuns(result.body, counts);
        } catch (const std::exception&) {
            counts.unreachable.push_back(address);
        }
    }
    co_return counts;
}

} // namespace swiftloft::replay
