#pragma once

#include <swiftloft/result.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// A small HTTP/1.1 server, the frame of every stand-in: one thread, one coroutine a connection.
namespace swiftloft::standin {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;
using HttpStatus = boost::beast::http::status;

/// Parses "IP:PORT".
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

/// One request and the way to answer it.
class Exchange {
public:
    Exchange(boost::asio::ip::tcp::socket&, HttpRequest);
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    const HttpRequest& request() const { return m_request; }
    std::string_view path() const { return m_path; }
    /// Value of a query parameter; empty when absent.
    std::string query(std::string_view name) const;
    /// Value of a header; empty when absent.
    std::string header(std::string_view name) const;

    /// Header fields added to the answer; to be set before it begins.
    void setHeader(std::string_view name, std::string_view value);
    /// The answer gets neither a length nor chunks and ends with its connection; to be called before it begins.
    void endWithConnection() { m_endsWithConnection = true; }
    boost::asio::awaitable<void> reply(HttpStatus, std::string contentType, std::string body);
    boost::asio::awaitable<void> replyJson(HttpStatus, std::string body);

    /// An answer in chunks, unless it ends with its connection. The final chunk is only sent by `finishStream`, so that a
    /// cut answer looks cut.
    boost::asio::awaitable<void> startStream(std::string contentType);
    boost::asio::awaitable<void> sendChunk(std::string bytes);
    boost::asio::awaitable<void> finishStream();

    /// Calls `hook` once if the peer closes the connection before the exchange ends.
    void whenPeerCloses(std::function<void()> hook);
    /// Ends the connection without an answer.
    void drop();

    bool hasReplied() const { return m_hasReplied; }

private:
    boost::asio::awaitable<void> startAnswer(HttpStatus, std::string contentType);
    HttpResponse responseHead(HttpStatus, const std::string& contentType) const;

    boost::asio::ip::tcp::socket& m_socket;
    HttpRequest m_request;
    std::string m_path;
    std::string m_query;
    boost::beast::http::fields m_extraHeaders;
    std::shared_ptr<bool> m_isAlive;
    bool m_isWatching { false };
    bool m_hasReplied { false };
    bool m_endsWithConnection { false };
};

/// Answers one exchange. An exception becomes status 400 (a swiftloft `Exception`) or 500.
using Handler = std::function<boost::asio::awaitable<void>(Exchange&)>;

/// Accepts connections and hands each request to the handler.
class HttpServer {
public:
    static Result<std::unique_ptr<HttpServer>> create(boost::asio::io_context&, const std::string& listen, Handler);

    boost::asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

private:
    HttpServer(boost::asio::io_context&, Handler);
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket);
    boost::asio::awaitable<void> handleOne(Exchange&);

    boost::asio::io_context& m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
};

} // namespace swiftloft::standin
