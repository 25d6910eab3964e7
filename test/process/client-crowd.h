#pragma once

#include <swiftloft/units.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace swiftloft::process_test {

/// Clients that send bytes, read nothing and keep their connections open. Belongs to one thread.
class ClientCrowd {
public:
    struct Options {
        /// "IP:PORT".
        std::string address;
        std::size_t clients { 0 };
        /// What the client with this number sends first. A client without it connects and sends nothing.
        std::function<std::string(std::size_t client)> head {};
        /// What every client sends after its head.
        std::string rest {};
    };

    explicit ClientCrowd(Options options);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd&) = delete;
    ClientCrowd& operator=(const ClientCrowd&) = delete;

    /// Lets all clients connect and send. Returns once each has sent everything or was cut off, or when the other side has
    /// stopped reading.
    void send();

private:
    struct Client {
        int socket { -1 };
        std::string head;
        std::size_t sent { 0 };
    };

    void connect(Client& client) const;
    std::size_t sizeOf(const Client& client) const { return client.head.size() + m_options.rest.size(); }
    /// Sends as much as the other side takes. Returns false if that was nothing.
    bool sendSome(Client& client) const;

    Options m_options;
    std::vector<Client> m_clients;
};

} // namespace swiftloft::process_test
