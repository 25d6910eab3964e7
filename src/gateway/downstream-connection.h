#pragma once

#include "src/gateway/delivery-pace.h"
#include "src/gateway/model.h"
#include "src/gateway/protocol.h"
#include "src/process/request-reader.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace swiftloft::gateway {

using ClientResponse = http::response<http::string_body>;
using process::ClientRequest;
using process::ReadError;

/// Who ended a connection from a client, and how.
enum class ConnectionEnd {
    /// The client closed its side, or only stopped sending: the two look the same until something is written.
    ClientClosed,
    ClientReset,
    /// The client accepted the bytes of its response too slowly.
    ClientStalled,
    /// Others needed the memory of the response, and it had been on its way to its client for longest.
    MemoryNeeded,
    /// Others needed the descriptor of the connection.
    ConnectionNeeded,
    EntryReset,
};

/// Name of an end of a connection as the reason of a failed request in the log.
std::string_view toString(ConnectionEnd);

/// One connection from a client. Belongs to the traffic thread.
class DownstreamConnection {
public:
    DownstreamConnection(boost::asio::ip::tcp::socket socket, process::ClientBounds& bounds);
    DownstreamConnection(const DownstreamConnection&) = delete;
    DownstreamConnection& operator=(const DownstreamConnection&) = delete;

    /// False if the connection must be closed because there are too many.
    bool isAdmitted() const { return m_reader.isAdmitted(); }
    /// Reads the next request into `request`. What it takes is counted until the next call or `releaseRequest`.
    boost::asio::awaitable<ReadError> readRequest(const ClientLimits& limits, ClientRequest& request);
    /// The body of the request has been destroyed.
    void releaseRequest() { m_reader.release(); }
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
    /// time for it after it acknowledged the last response. A client that still sends gets until `discardUntil`.
    boost::asio::awaitable<void> close(TimePoint discardUntil = {});
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
    /// Ends the connection at once for others that need its descriptor.
    void makeWay();
    /// Bytes that the client's system has acknowledged so far.
    std::uint64_t deliveredBytes() { return m_writtenBytes - std::min<std::uint64_t>(undeliveredBytes(), m_writtenBytes); }

    boost::beast::tcp_stream m_stream;
    process::RequestReader m_reader;
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
    /// The client has not accepted the bytes of a write when the pace was first checked.
    bool m_isStalled { false };
    TimePoint m_discardUntil;
    /// The client has sent bytes since the last check of a connection that is being closed.
    bool m_isSending { false };
    /// Checks the pace while bytes are written, and whether a connection that is being closed is done.
    boost::asio::steady_timer m_timer;
    bool m_isTimerRunning { false };
    /// Expires with the connection, so that a handler of the timer that is already queued does nothing.
    std::shared_ptr<DownstreamConnection*> m_self;
    /// No further request is read from the connection.
    bool m_mustClose { false };
};

} // namespace swiftloft::gateway
