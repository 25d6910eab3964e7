#include "src/replay/address-book.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace swiftloft::replay {

namespace asio = boost::asio;
namespace json = boost::json;

AddressBook::AddressBook(HttpClient& client, ServiceName service, std::vector<std::string> seeds, bool isDirect)
    : m_client(client)
    , m_service(std::move(service))
    , m_seeds(std::move(seeds))
    , m_isDirect(isDirect)
{
    if (m_isDirect)
        m_addresses = m_seeds;
}

asio::awaitable<std::vector<std::string>> AddressBook::addresses()
{
    if (!m_isDirect && Clock::now() >= m_keepUntil)
        co_await refresh();
    co_return m_addresses;
}

asio::awaitable<void> AddressBook::refresh()
{
    auto asked = m_addresses;
    asked.insert(asked.end(), m_seeds.begin(), m_seeds.end());
    auto target = "/swiftloft/v1/entries?service=" + m_service.value();
    for (auto& address : asked) {
        auto result = co_await m_client.fetch(address, target);
        if (take(result))
            co_return;
    }
}

bool AddressBook::take(const ExchangeResult& result)
{
    if (result.end != ExchangeEnd::Whole || result.head.result() != boost::beast::http::status::ok)
        return false;
    try {
        auto answer = json::parse(result.body).as_object();
        auto addresses = json::value_to<std::vector<std::string>>(answer.at("addresses"));
        if (addresses.empty())
            return false;
        m_keepUntil = result.doneAt + seconds(answer.at("keep_seconds").to_number<std::int64_t>());
        m_addresses = std::move(addresses);
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

void AddressBook::reportFailure(const std::string& address)
{
    auto it = std::find(m_addresses.begin(), m_addresses.end(), address);
    if (it != m_addresses.end())
        std::rotate(it, it + 1, m_addresses.end());
    askAgain();
}

void AddressBook::askAgain()
{
    m_keepUntil = TimePoint();
}

} // namespace swiftloft::replay
