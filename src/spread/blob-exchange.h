#pragma once

#include "src/spread/spreader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace swiftloft::spread {

/// Serves parts to peers and pulls them, over TCP at the port that also takes gossip. One request a connection: a pull
/// that hangs ends at its deadline and leaves nothing behind.
class BlobExchange : public std::enable_shared_from_this<BlobExchange> {
public:
    using Serve = std::function<BlobsPulled(const std::vector<Digest>&)>;
    using Completion = std::function<void(BlobsPulled)>;

    /// Fails with `Unavailable` when `endpoint` can't be bound.
    static Result<std::shared_ptr<BlobExchange>> create(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& endpoint, Serve serve);

    /// `done` gets a `Failed` result when there is no good reply by the deadline.
    void pull(const boost::asio::ip::tcp::endpoint& peer, const std::vector<Digest>& digests, TimePoint deadline, Completion done);
    void stop();

    /// Payload sent and received, both ways.
    std::uint64_t bytes() const { return *m_bytes; }

private:
    BlobExchange(boost::asio::io_context& io, Serve serve);

    void accept();

    boost::asio::io_context& m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Serve m_serve;
    std::shared_ptr<std::uint64_t> m_bytes;
    std::shared_ptr<std::size_t> m_serving;
    bool m_isStopped { false };
};

} // namespace swiftloft::spread
