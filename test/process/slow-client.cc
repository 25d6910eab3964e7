#include "test/process/slow-client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <thread>

#include <poll.h>

namespace swiftloft::process_test {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Size of the client's receive buffer; the system may round it up.
constexpr int receiveBufferBytes = 32 << 10;
constexpr milliseconds readInterval { 20 };

bool isReadable(tcp::socket& socket, TimePoint deadline)
{
    auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
    pollfd it { socket.native_handle(), POLLIN, 0 };
    return ::poll(&it, 1, static_cast<int>(std::max<long>(left, 0))) > 0;
}

} // namespace

SlowClient::SlowClient(const std::string& address, const std::string& request)
    : m_socket(m_ioContext, tcp::v4())
{
    m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
    auto colon = address.find(':');
    m_socket.connect({ asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) });
    asio::write(m_socket, asio::buffer(request));
}

bool SlowClient::isComplete() const
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr std::string_view lengthField = "Content-Length: ";
    auto head = m_received.find(headEnd);
    if (head == std::string::npos)
        return false;
    auto length = m_received.find(lengthField);
    if (length == std::string::npos || length > head)
        return m_received.ends_with("\r\n0\r\n\r\n");
    return m_received.size() - head - headEnd.size() >= std::stoul(m_received.substr(length + lengthField.size()));
}

bool SlowClient::readResponse(std::size_t bytesPerSecond, TimePoint deadline)
{
    std::string piece(std::max<std::size_t>(bytesPerSecond * readInterval.count() / 1000, 1), '\0');
    for (auto readAt = Clock::now(); !isComplete() && Clock::now() < deadline; readAt += readInterval) {
        std::this_thread::sleep_until(readAt);
        if (!isReadable(m_socket, std::min(deadline, readAt + readInterval)))
            continue;
        auto n = m_socket.read_some(asio::buffer(piece), m_error);
        m_received.append(piece, 0, n);
        if (m_error)
            break;
    }
    return isComplete();
}

boost::system::error_code SlowClient::waitForEnd(TimePoint deadline)
{
    char byte = 0;
    while (!m_error && isReadable(m_socket, deadline))
        m_socket.read_some(asio::buffer(&byte, 1), m_error);
    return m_error;
}

std::string keptRequest(const std::string& kind, const std::string& id)
{
    return fmt::format("POST /{}/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {}\r\nX-Api-Key: k1\r\nX-Deadline-Ms: 8000\r\nContent-Length: 4\r\n\r\nwork", kind, id);
}

} // namespace swiftloft::process_test
