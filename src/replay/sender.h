#pragma once

#include "src/replay/address-book.h"
#include "src/replay/record.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace swiftloft::replay {

struct SenderOptions {
    /// Entries to ask for addresses; with `isDirect`, the backend servers themselves.
    std::vector<std::string> seeds;
    bool isDirect { false };
    /// How often a request whose answer was cut is sent again; only one that is repeatable or has a key.
    int mostResends { 1 };
};

/// One caller: asks for addresses, sends requests, goes to the next address when one does not answer.
class Sender {
public:
    Sender(boost::asio::io_context&, SenderOptions);

    /// Sends the request and fills the rest of `record`.
    boost::asio::awaitable<void> send(std::shared_ptr<Record>);

private:
    struct Message {
        std::shared_ptr<HttpRequest> http;
        std::string body;
    };

    AddressBook& book(const ServiceName&);
    Message messageOf(const TraceRequest&) const;
    boost::asio::awaitable<ExchangeEnd> attempt(std::shared_ptr<Record>, const Message&, const std::string& address, TimePoint deadline, AddressBook&);

    SenderOptions m_options;
    HttpClient m_client;
    std::map<ServiceName, std::unique_ptr<AddressBook>> m_books;
};

} // namespace swiftloft::replay
