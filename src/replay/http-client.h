#pragma once

#include <swiftloft/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace swiftloft::replay {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpHead = boost::beast::http::response_header<>;

/// How one HTTP exchange ended, as the caller saw it.
enum class ExchangeEnd {
    /// Nothing was sent.
    NotConnected,
    /// The connection broke after the request began to be sent and before the answer was whole.
    Cut,
    /// The deadline passed first.
    TimedOut,
    /// The HTTP message is complete.
    Whole,
};

struct ExchangeResult {
    ExchangeEnd end { ExchangeEnd::NotConnected };
    HttpHead head;
    std::string body;
    TimePoint firstByteAt;
    TimePoint doneAt;
    /// What the system says of a failure.
    std::string failure;

    /// A new head says "200 OK"; until one has been read the status is 0.
    ExchangeResult() { head.result(0U); }

    bool hasHead() const { return head.result_int() != 0 && firstByteAt != TimePoint(); }
};

/// Called with each piece of the body as it arrives.
using OnBody = std::function<void(std::string_view piece, TimePoint at)>;

/// Keeps connections open between requests and sends one request at a time on each.
class HttpClient {
public:
    explicit HttpClient(boost::asio::io_context&);

    /// Sends `request` to `address` ("IP:PORT") and reads the answer.
    boost::asio::awaitable<ExchangeResult> exchange(std::string address, std::shared_ptr<HttpRequest> request, TimePoint deadline, OnBody onBody);

    /// GET of `target` with a short deadline, for answers that fit in memory.
    boost::asio::awaitable<ExchangeResult> fetch(std::string address, std::string target);

private:
    using Stream = boost::beast::tcp_stream;

    std::unique_ptr<Stream> takeIdle(const std::string& address);
    boost::asio::awaitable<std::unique_ptr<Stream>> connect(const std::string& address, TimePoint deadline);
    boost::asio::awaitable<bool> readAnswer(Stream&, ExchangeResult&, const OnBody&);

    boost::asio::io_context& m_io;
    std::map<std::string, std::vector<std::unique_ptr<Stream>>> m_idle;
};

} // namespace swiftloft::replay
