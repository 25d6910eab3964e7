#pragma once

#include "src/process/client-bounds.h"
#include "src/process/resources.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace swiftloft::process {

/// One answer to a status request.
struct StatusAnswer {
    unsigned status { 200 };
    std::string contentType { "text/plain; charset=utf-8" };
    std::string body;
};

/// Serves small GET pages (health, metrics) over HTTP on the control thread. Connections that stay idle are closed.
class StatusServer {
public:
    using Page = std::function<StatusAnswer()>;

    /// `bounds` limits what readers can make the process keep.
    StatusServer(boost::asio::io_context& ioContext, const boost::asio::ip::tcp::endpoint& endpoint, const ClientBounds::Options& bounds = Resources::ofThisProcess().forStatus());

    /// Adds the page at `path`, such as "/healthz".
    void add(const std::string& path, Page page);

    boost::asio::ip::tcp::endpoint localEndpoint() const { return m_acceptor.local_endpoint(); }

    void close();

private:
    void accept();
    StatusAnswer answerFor(std::string_view target) const;

    std::shared_ptr<ClientBounds> m_bounds;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    std::map<std::string, Page, std::less<>> m_pages;
};

} // namespace swiftloft::process
