#include "src/spread/blob-exchange.h"

#include "src/spread/blob-codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/endian/conversion.hpp>

#include <array>
#include <utility>

namespace swiftloft::spread {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

using Header = std::array<unsigned char, 4>;

constexpr seconds serveTime { 5 };
/// Bounds sockets and memory while a new revision goes round.
constexpr std::size_t maxServing = 64;

std::string framed(const std::string& payload)
{
    Header header;
    boost::endian::store_little_u32(header.data(), static_cast<std::uint32_t>(payload.size()));
    return std::string(header.begin(), header.end()) + payload;
}

/// A stream that carries one length-prefixed message each way by a deadline.
class FramedStream {
public:
    using Handler = std::function<void(beast::error_code)>;

    explicit FramedStream(beast::tcp_stream stream)
        : m_stream(std::move(stream))
    {
    }

    beast::tcp_stream& stream() { return m_stream; }
    const std::string& received() const { return m_received; }
    std::size_t sentBytes() const { return m_sending.size(); }

    void write(const std::string& payload, Handler done)
    {
        m_sending = framed(payload);
        asio::async_write(m_stream, asio::buffer(m_sending), [done = std::move(done)](beast::error_code ec, std::size_t) { done(ec); });
    }

    void read(std::size_t most, const Handler& done)
    {
        asio::async_read(m_stream, asio::buffer(m_header), [this, most, done](beast::error_code ec, std::size_t) {
            auto size = boost::endian::load_little_u32(m_header.data());
            if (!ec && size > most)
                ec = asio::error::message_size;
            if (ec)
                return done(ec);
            m_received.resize(size);
            asio::async_read(m_stream, asio::buffer(m_received), [done](beast::error_code ec, std::size_t) { done(ec); });
        });
    }

private:
    beast::tcp_stream m_stream;
    Header m_header {};
    std::string m_sending;
    std::string m_received;
};

class ServerCall : public std::enable_shared_from_this<ServerCall> {
public:
    ServerCall(tcp::socket socket, const BlobExchange::Serve& serve, std::shared_ptr<std::uint64_t> bytes, std::shared_ptr<std::size_t> serving)
        : m_framed(beast::tcp_stream(std::move(socket)))
        , m_serve(serve)
        , m_bytes(std::move(bytes))
        , m_serving(std::move(serving))
    {
        ++*m_serving;
        m_framed.stream().expires_at(Clock::now() + serveTime);
    }
    ~ServerCall() { --*m_serving; }
    ServerCall(const ServerCall&) = delete;
    ServerCall& operator=(const ServerCall&) = delete;

    void start()
    {
        m_framed.read(maxRequestBytes, [self = shared_from_this()](beast::error_code ec) {
            if (!ec)
                self->answer();
        });
    }

private:
    void answer()
    {
        auto digests = decodeRequest(m_framed.received());
        if (!digests || !m_serve)
            return;
        m_framed.write(encodeReply(m_serve(*digests)), [self = shared_from_this()](beast::error_code) {
            *self->m_bytes += self->m_framed.sentBytes() + self->m_framed.received().size();
        });
    }

    FramedStream m_framed;
    const BlobExchange::Serve m_serve;
    std::shared_ptr<std::uint64_t> m_bytes;
    std::shared_ptr<std::size_t> m_serving;
};

class ClientCall : public std::enable_shared_from_this<ClientCall> {
public:
    ClientCall(asio::io_context& io, std::string request, TimePoint deadline, std::shared_ptr<std::uint64_t> bytes, BlobExchange::Completion done)
        : m_framed(beast::tcp_stream(io))
        , m_request(std::move(request))
        , m_bytes(std::move(bytes))
        , m_done(std::move(done))
    {
        m_framed.stream().expires_at(deadline);
    }

    void start(const tcp::endpoint& peer)
    {
        m_framed.stream().async_connect(peer, [self = shared_from_this()](beast::error_code ec) {
            if (ec)
                return self->finish({});
            self->m_framed.write(self->m_request, [self](beast::error_code ec) { self->onWritten(ec); });
        });
    }

private:
    void onWritten(beast::error_code ec)
    {
        if (ec)
            return finish({});
        m_framed.read(maxReplyBytes, [self = shared_from_this()](beast::error_code ec) { self->onRead(ec); });
    }

    void onRead(beast::error_code ec)
    {
        if (ec)
            return finish({});
        *m_bytes += m_framed.sentBytes() + m_framed.received().size();
        auto reply = decodeReply(m_framed.received());
        finish(reply ? std::move(*reply) : BlobsPulled {});
    }

    void finish(BlobsPulled reply)
    {
        if (auto done = std::exchange(m_done, nullptr))
            done(std::move(reply));
    }

    FramedStream m_framed;
    std::string m_request;
    std::shared_ptr<std::uint64_t> m_bytes;
    BlobExchange::Completion m_done;
};

} // namespace

BlobExchange::BlobExchange(asio::io_context& io, Serve serve)
    : m_io(io)
    , m_acceptor(io)
    , m_serve(std::move(serve))
    , m_bytes(std::make_shared<std::uint64_t>(0))
    , m_serving(std::make_shared<std::size_t>(0))
{
}

Result<std::shared_ptr<BlobExchange>> BlobExchange::create(asio::io_context& io, const tcp::endpoint& endpoint, Serve serve)
{
    std::shared_ptr<BlobExchange> exchange(new BlobExchange(io, std::move(serve)));
    auto& acceptor = exchange->m_acceptor;
    beast::error_code ec;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return Error { ErrorCode::Unavailable, "can't take pulls at the peer address: " + ec.message() };
    exchange->accept();
    return exchange;
}

void BlobExchange::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](beast::error_code ec, tcp::socket socket) {
        if (self->m_isStopped || ec == asio::error::operation_aborted)
            return;
        if (!ec && *self->m_serving < maxServing)
            std::make_shared<ServerCall>(std::move(socket), self->m_serve, self->m_bytes, self->m_serving)->start();
        self->accept();
    });
}

void BlobExchange::pull(const tcp::endpoint& peer, const std::vector<Digest>& digests, TimePoint deadline, Completion done)
{
    std::make_shared<ClientCall>(m_io, encodeRequest(digests), deadline, m_bytes, std::move(done))->start(peer);
}

void BlobExchange::stop()
{
    m_isStopped = true;
    m_serve = nullptr;
    beast::error_code ec;
    m_acceptor.close(ec);
}

} // namespace swiftloft::spread
