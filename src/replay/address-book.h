#pragma once

#include "src/replay/http-client.h"

#include <swiftloft/ids.h>

#include <boost/asio/steady_timer.hpp>

#include <string>
#include <vector>

namespace swiftloft::replay {

/// What one caller knows of where to send a service's requests: the last address answer, kept as long as it says.
class AddressBook {
public:
    /// `seeds`: entries to ask for a first answer. With `isDirect` they are backend servers, to be used as they are.
    AddressBook(HttpClient&, ServiceName, std::vector<std::string> seeds, bool isDirect);

    /// Addresses to try, in order; empty when no entry answers.
    boost::asio::awaitable<std::vector<std::string>> addresses();

    /// Moves an address that did not answer to the end of the kept list, and asks again soon.
    void reportFailure(const std::string& address);

    /// The kept answer is used no more: an entry that stops says so with each of its answers.
    void askAgain();

private:
    boost::asio::awaitable<void> refresh();
    bool take(const ExchangeResult&);

    HttpClient& m_client;
    ServiceName m_service;
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_addresses;
    bool m_isDirect;
    TimePoint m_keepUntil;
};

} // namespace swiftloft::replay
