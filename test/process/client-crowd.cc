#include "test/process/client-crowd.h"

#include "standin/http-server.h"

#include <algorithm>
#include <utility>

#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace swiftloft::process_test {

namespace {

/// Size of a client's receive buffer; the system may round it up.
constexpr int receiveBufferBytes = 4096;
/// The other side has stopped reading if nobody could send anything for so long.
constexpr milliseconds settledAfter { 2000 };
constexpr seconds maxSendTime { 40 };

/// Lets this process open as many descriptors as it may.
void raiseDescriptorLimit()
{
    rlimit limit {};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

ClientCrowd::ClientCrowd(Options options)
    : m_options(std::move(options))
    , m_clients(m_options.clients)
{
    raiseDescriptorLimit();
}

ClientCrowd::~ClientCrowd()
{
    for (auto& client : m_clients)
        ::close(client.socket);
}

void ClientCrowd::connect(Client& client) const
{
    auto endpoint = standin::parseEndpoint(m_options.address).value();
    client.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(client.socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    if (client.socket < 0 || ::connect(client.socket, endpoint.data(), static_cast<socklen_t>(endpoint.size())) != 0)
        client.sent = sizeOf(client);
}

bool ClientCrowd::sendSome(Client& client) const
{
    auto isHead = client.sent < client.head.size();
    auto& text = isHead ? client.head : m_options.rest;
    auto offset = isHead ? client.sent : client.sent - client.head.size();
    auto n = ::send(client.socket, text.data() + offset, text.size() - offset, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return false;
    // A client that was cut off does not come again.
    client.sent = n < 0 ? sizeOf(client) : client.sent + static_cast<std::size_t>(n);
    return true;
}

void ClientCrowd::send()
{
    for (std::size_t n = 0; n < m_clients.size(); ++n) {
        m_clients[n].head = m_options.head ? m_options.head(n) : std::string();
        connect(m_clients[n]);
    }
    auto endAt = Clock::now() + maxSendTime;
    for (auto settledAt = Clock::now() + settledAfter; Clock::now() < std::min<TimePoint>(settledAt, endAt);) {
        std::vector<pollfd> polled;
        std::vector<Client*> pending;
        for (auto& client : m_clients) {
            if (client.sent == sizeOf(client))
                continue;
            polled.push_back({ client.socket, POLLOUT, 0 });
            pending.push_back(&client);
        }
        if (pending.empty())
            return;
        constexpr int pollMs = 100;
        ::poll(polled.data(), polled.size(), pollMs);
        for (std::size_t n = 0; n < pending.size(); ++n) {
            if (polled[n].revents != 0 && sendSome(*pending[n]))
                settledAt = Clock::now() + settledAfter;
        }
    }
}

} // namespace swiftloft::process_test
