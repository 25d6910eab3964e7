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

/// Why no request could be read.
enum class ReadError {
    None,
    /// The client closed between requests, stayed idle too long or broke off.
    Closed,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    /// The client began a request and did not finish its head in time.
    TooSlow,
};

/// One connection of a client. Belongs to the traffic thread.
class DownstreamConnection {
public:
    explicit DownstreamConnection(boost::asio::ip::tcp::socket socket);

    /// Reads the next request into `request`.
    boost::asio::awaitable<ReadError> readRequest(const ClientLimits& limits, ClientRequest& request);
    /// Writes a whole answer. Throws when the client is gone.
    boost::asio::awaitable<void> writeResponse(ClientResponse& response);
    /// Begins an answer of unknown length.
    boost::asio::awaitable<void> writeHead(ResponseFields head);
    boost::asio::awaitable<void> writeChunk(std::string bytes);
    boost::asio::awaitable<void> writeLastChunk();
    /// Returns when the client has closed its side; never while it stays.
    boost::asio::awaitable<void> waitForClose();
    /// Ends the connection so that an answer in progress looks cut.
    void reset();
    bool isIdle() const { return m_isIdle; }
    /// Ends the connection in order: says that no more comes and waits until the client has closed too, or a moment.
    boost::asio::awaitable<void> close();
    bool mustClose() const { return m_mustClose; }
    void setMustClose() { m_mustClose = true; }

private:
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    /// Between two requests.
    bool m_isIdle { true };
    /// No further request is read.
    bool m_mustClose { false };
};

} // namespace swiftloft::gateway
