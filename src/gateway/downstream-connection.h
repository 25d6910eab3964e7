#pragma once

#include "src/gateway/model.h"
#include "src/gateway/protocol.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string>
#include <string_view>

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

/// Who ended a connection from a client, and how.
enum class ConnectionEnd {
    /// The client closed its side, or only stopped sending: the two look the same until something is written.
    ClientClosed,
    ClientReset,
    /// The client did not accept the bytes of its response in time.
    ClientStalled,
    EntryReset,
};

/// Name of an end of a connection as the reason of a failed request in the log.
std::string_view toString(ConnectionEnd);

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
    /// Returns when the connection has ended, and how. Does not return while the client stays connected, or once it has sent
    /// further data.
    boost::asio::awaitable<ConnectionEnd> waitForClose();
    /// Resets the connection, so that the client sees a response in progress as truncated.
    void reset(ConnectionEnd end = ConnectionEnd::EntryReset);
    /// Ends the connection together with the process: by a reset if a request is in progress, otherwise in order.
    void terminate();
    /// True while no request is being read or served and the connection is not being closed.
    bool isIdle() const { return m_state == State::Idle; }
    /// Bytes that were written and that the client's system has not acknowledged. After a reset, their number before it. 0 where
    /// the system does not tell.
    std::size_t undeliveredBytes();
    /// Id of the last request, for the log.
    const std::string& requestId() const { return m_requestId; }
    void setRequestId(std::string id) { m_requestId = std::move(id); }
    /// Closes the connection gracefully: shuts down the sending side and waits until the client closes too, or for a short time.
    boost::asio::awaitable<void> close();
    bool mustClose() const { return m_mustClose; }
    void setMustClose() { m_mustClose = true; }

private:
    enum class State {
        Idle,
        /// A request is being read or served.
        Busy,
        Closing,
    };

    void checkWritten(const boost::system::error_code& ec);

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::string m_requestId;
    /// Set if the entry has ended the connection.
    std::optional<ConnectionEnd> m_end;
    std::size_t m_undeliveredAtEnd { 0 };
    State m_state { State::Idle };
    /// No further request is read from the connection.
    bool m_mustClose { false };
};

} // namespace swiftloft::gateway
