#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <future>
#include <string>

namespace swiftloft::process_test {

/// A backend server on a thread of its own that takes one request and lets a script write the bytes of the response. No
/// connection is accepted after the first: the address refuses connections from then on.
class ScriptedServer {
public:
    using Socket = boost::asio::ip::tcp::socket;
    /// Writes the response to the request with this id. The connection is closed in order when the script returns.
    using Script = std::function<void(Socket& socket, const std::string& id)>;

    explicit ScriptedServer(Script script);
    /// Ends the script's wait for a request.
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    const std::string& address() const { return m_address; }
    bool hasRequest() const { return m_requestId.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }
    /// Waits for the request and returns its id.
    std::string requestId() const { return m_requestId.get(); }

private:
    void run(const Script& script);

    boost::asio::io_context m_ioContext;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    std::promise<std::string> m_request;
    std::shared_future<std::string> m_requestId;
    std::future<void> m_done;
};

/// Head of a signed response to the request with this id. The response is an event stream that ends with its connection,
/// unless `fields` say otherwise.
std::string streamHead(const std::string& id, const std::string& fields = "");

} // namespace swiftloft::process_test
