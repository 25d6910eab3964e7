#pragma once

#include <swiftloft/units.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace swiftloft::process_test {

/// A client behind a slow link: its system buffers little, and it reads at a rate of its own.
class SlowClient {
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// Connects to `address` ("IP:PORT") and sends `request`.
    SlowClient(const std::string& address, const std::string& request);

    /// Reads until the response is complete, the connection ends or `deadline` passes. Returns true if the response is complete.
    bool readResponse(std::size_t bytesPerSecond, TimePoint deadline);
    /// Waits for the end of the connection after the response; what the system says of it.
    boost::system::error_code waitForEnd(TimePoint deadline);
    Socket& socket() { return m_socket; }

private:
    bool isComplete() const;

    boost::asio::io_context m_ioContext;
    Socket m_socket;
    std::string m_received;
    boost::system::error_code m_error;
};

/// Request of the kind for `id`, as clients of the fake platform send it. The connection stays open afterwards.
std::string keptRequest(const std::string& kind, const std::string& id);

} // namespace swiftloft::process_test
