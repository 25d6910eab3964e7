#pragma once

#include "src/process/client-bounds.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>

namespace swiftloft::process {

using ClientRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// Reason why no request could be read.
enum class ReadError {
    None,
    /// The client closed the connection between requests, stayed idle too long or disconnected within a request.
    Closed,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    /// The client began a request and did not complete it in time.
    TooSlow,
    /// The process needs the memory that the request takes.
    NoMemory,
};

/// HTTP status of the response to a request that could not be read. 408 and 503 promise that it has not run.
unsigned statusOf(ReadError error);
/// Name of the reason in logs and metrics.
std::string_view toString(ReadError error);

struct ReadLimits {
    std::size_t maxHeaderBytes { 0 };
    std::size_t maxBodyBytes { 0 };
    milliseconds headerTimeout { 0 };
    /// Maximum time from the end of the head to the end of the body.
    milliseconds bodyTimeout { 0 };
    /// The whole request must have come by then.
    TimePoint deadline { TimePoint::max() };
};

/// Reads the requests of one client's connection, and counts what they take among the bytes of all clients.
class RequestReader {
public:
    /// `closeNow` is called if the connection must be closed at once, because others need its descriptor.
    RequestReader(boost::beast::tcp_stream& stream, ClientBounds& bounds, std::function<void()> closeNow);

    /// False if the connection must be closed because there are too many.
    bool isAdmitted() const { return m_share.isAdmitted(); }
    /// Waits until the client sends bytes. Returns false if it has closed the connection or is still silent at `deadline`.
    boost::asio::awaitable<bool> waitForRequest(TimePoint deadline);
    /// Reads a request into `request`, after `waitForRequest`. The bytes that it takes are counted until `release`.
    boost::asio::awaitable<ReadError> read(const ReadLimits& limits, ClientRequest& request);
    /// The request has been destroyed, or its body.
    void release();
    /// Counts `bytes` in place of the request. Returns false if there is no room for them.
    bool hold(std::size_t bytes);
    /// The client does not accept its response, or has got it and does not close the connection: it may make way for others.
    void onStalled() { m_share.onStalled(Clock::now()); }
    /// The client accepts its response again.
    void onAccepted() { m_share.startProgress(); }

private:
    class Parser;

    boost::asio::awaitable<ReadError> readPart(Parser& parser, bool isHead);
    void onMakingWay(ClientBounds::Needed needed);

    boost::beast::tcp_stream& m_stream;
    std::function<void()> m_closeNow;
    boost::beast::flat_buffer m_buffer;
    /// Set if the connection must make way.
    std::optional<ClientBounds::Needed> m_needed;
    bool m_isReading { false };
    ClientBounds::Share m_share;
};

/// Closes a connection in order: a client that still sends can read its response first. Its bytes are discarded until it closes
/// the connection too, or until `deadline`.
boost::asio::awaitable<void> closeInOrder(boost::beast::tcp_stream& stream, TimePoint deadline);

} // namespace swiftloft::process
