#pragma once

#include "src/gateway/model.h"
#include "src/gateway/protocol.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <string>

namespace swiftloft::gateway {

using ClientRequest = http::request<http::string_body>;
using ClientResponse = http::response<http::string_body>;

/// Reason why no request could be read.
enum class ReadError {
    None,
    /// The client closed the connection between requests, stayed idle too long or disconnected within a request.
    Closed,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    /// The client began a request and did not complete its head in time.
    TooSlow,
};

/// One connection from a client. Belongs to the traffic thread.
class DownstreamConnection {
public:
    explicit DownstreamConnection(boost::asio::ip::tcp::socket socket);

    /// Reads the next request into `request`.
    boost::asio::awaitable<ReadError> readRequest(const ClientLimits& limits, ClientRequest& request);
    /// Writes a complete response. Throws if the client has disconnected.
    boost::asio::awaitable<void> writeResponse(ClientResponse& response);
    /// Starts a response of unknown length, with chunked transfer encoding.
    boost::asio::awaitable<void> writeHead(ResponseFields head);
    boost::asio::awaitable<void> writeChunk(std::string bytes);
    boost::asio::awaitable<void> writeLastChunk();
    /// Returns when the client has closed its side of the connection. Does not return while the client stays connected, or once
    /// it has sent further data.
    boost::asio::awaitable<void> waitForClose();
    /// Resets the connection, so that the client sees a response in progress as truncated.
    void reset();
    bool isIdle() const { return m_isIdle; }
    /// Closes the connection gracefully: shuts down the sending side and waits until the client closes too, or for a short time.
    boost::asio::awaitable<void> close();
    bool mustClose() const { return m_mustClose; }
    void setMustClose() { m_mustClose = true; }

private:
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    /// No request is being read or served.
    bool m_isIdle { true };
    /// No further request is read from the connection.
    bool m_mustClose { false };
};

} // namespace swiftloft::gateway
