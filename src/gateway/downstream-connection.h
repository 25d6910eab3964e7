#pragma once

#include "src/gateway/delivery-pace.h"
#include "src/gateway/model.h"
#include "src/gateway/protocol.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <memory>
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
    /// The client accepted the bytes of its response too slowly.
    ClientStalled,
    /// Others needed the memory of the response, and it had been on its way to its client for longest.
    MemoryNeeded,
    EntryReset,
};

/// Name of an end of a connection as the reason of a failed request in the log.
std::string_view toString(ConnectionEnd);

/// One connection from a client. Belongs to the traffic thread.
class DownstreamConnection {
public:
    explicit DownstreamConnection(boost::asio::ip::tcp::socket socket);
    DownstreamConnection(const DownstreamConnection&) = delete;
    DownstreamConnection& operator=(const DownstreamConnection&) = delete;

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
    /// Closes the connection gracefully: shuts down the sending side and waits until the client closes too, or has had a short
    /// time for it after it acknowledged the last response.
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

    template <typename Buffers>
    boost::asio::awaitable<void> write(Buffers buffers);
    /// Writes the head of the message, or all of it.
    template <typename Serializer>
    boost::asio::awaitable<void> writeMessage(Serializer& serializer);
    void startDelivery();
    /// Counts bytes that were passed to the system. Throws if the connection has failed.
    void onWritten(std::size_t size, const boost::system::error_code& ec);
    void startTimer(TimePoint time);
    void onTimer();
    /// Ends the connection if the client accepts the bytes of a write too slowly.
    void checkPace();
    /// Ends the wait for the client's close once it has acknowledged its response, or takes too long to.
    void checkClosing();
    /// Bytes that the client's system has acknowledged so far.
    std::uint64_t deliveredBytes() { return m_writtenBytes - std::min<std::uint64_t>(undeliveredBytes(), m_writtenBytes); }

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::string m_requestId;
    /// Set if the entry has ended the connection.
    std::optional<ConnectionEnd> m_end;
    std::size_t m_undeliveredAtEnd { 0 };
    State m_state { State::Idle };
    std::uint64_t m_writtenBytes { 0 };
    /// Number of writes so far, the one in progress included.
    std::uint64_t m_writes { 0 };
    bool m_isWriting { false };
    /// The write that `m_pace` belongs to.
    std::uint64_t m_measuredWrite { 0 };
    DeliveryPace m_pace;
    /// Checks the pace while bytes are written, and whether a connection that is being closed is done.
    boost::asio::steady_timer m_timer;
    bool m_isTimerRunning { false };
    /// Expires with the connection, so that a handler of the timer that is already queued does nothing.
    std::shared_ptr<DownstreamConnection*> m_self;
    /// No further request is read from the connection.
    bool m_mustClose { false };
};

} // namespace swiftloft::gateway
