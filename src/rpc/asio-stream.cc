#include "src/rpc/asio-stream.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <memory>
#include <utility>
#include <vector>

namespace swiftloft::rpc {

namespace internal {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t readBufferBytes = 16 * 1024;

/// What outlives the stream while an operation is under way.
struct SocketState {
    explicit SocketState(tcp::socket socket)
        : socket(std::move(socket))
    {
    }

    tcp::socket socket;
    std::array<kj::byte, readBufferBytes> buffer;
    std::size_t begin { 0 };
    std::size_t end { 0 };
    kj::Own<kj::PromiseFulfiller<void>> disconnectFulfiller;
    /// Written since the last send began; goes out as one.
    std::vector<kj::byte> pending;
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> pendingWriters;
    bool isSending { false };
};

kj::Exception disconnected(const error_code& ec)
{
    return kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::heapString(ec.message()));
}

/// One `tryRead`: copies what is buffered and reads on until the least size is reached or the peer ends.
struct ReadOperation {
    std::shared_ptr<SocketState> state;
    kj::byte* target;
    std::size_t least;
    std::size_t most;
    std::size_t done { 0 };
    kj::Own<kj::PromiseFulfiller<std::size_t>> fulfiller;

    void takeBuffered()
    {
        auto n = std::min(most - done, state->end - state->begin);
        std::memcpy(target + done, state->buffer.data() + state->begin, n);
        state->begin += n;
        done += n;
    }
};

void continueRead(std::unique_ptr<ReadOperation> operation)
{
    // A dropped promise means that `target` may be gone: what was read stays buffered for the next read.
    if (!operation->fulfiller->isWaiting())
        return;
    operation->takeBuffered();
    if (operation->done >= operation->least) {
        operation->fulfiller->fulfill(kj::cp(operation->done));
        return;
    }
    auto& state = *operation->state;
    state.begin = 0;
    state.end = 0;
    state.socket.async_read_some(boost::asio::buffer(state.buffer),
        [operation = std::move(operation)](error_code ec, std::size_t n) mutable {
            operation->state->end = n;
            if (!ec)
                return continueRead(std::move(operation));
            if (operation->state->disconnectFulfiller.get())
                operation->state->disconnectFulfiller->fulfill();
            if (ec == boost::asio::error::eof)
                return operation->fulfiller->fulfill(kj::cp(operation->done));
            operation->fulfiller->reject(disconnected(ec));
        });
}

/// Sends all that is pending, and then what came meanwhile, until nothing is left.
void send(const std::shared_ptr<SocketState>& state)
{
    auto bytes = std::make_unique<std::vector<kj::byte>>(std::exchange(state->pending, {}));
    auto writers = std::exchange(state->pendingWriters, {});
    auto view = boost::asio::buffer(*bytes);
    boost::asio::async_write(state->socket, view, [state, bytes = std::move(bytes), writers = std::move(writers)](error_code ec, std::size_t) mutable {
        for (auto& writer : writers) {
            if (ec)
                writer->reject(disconnected(ec));
            else
                writer->fulfill();
        }
        state->isSending = false;
        if (state->pendingWriters.empty())
            return;
        state->isSending = true;
        send(state);
    });
}

class AsioStream final : public kj::AsyncIoStream {
public:
    explicit AsioStream(tcp::socket socket)
        : m_state(std::make_shared<SocketState>(std::move(socket)))
    {
    }

    ~AsioStream() noexcept(false)
    {
        error_code ec;
        m_state->socket.close(ec);
    }

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t minBytes, std::size_t maxBytes) override
    {
        auto result = kj::newPromiseAndFulfiller<std::size_t>();
        auto operation = std::make_unique<ReadOperation>();
        operation->state = m_state;
        operation->target = static_cast<kj::byte*>(buffer);
        operation->least = minBytes;
        operation->most = maxBytes;
        operation->fulfiller = kj::mv(result.fulfiller);
        continueRead(std::move(operation));
        return kj::mv(result.promise);
    }

    kj::Promise<void> write(const void* buffer, std::size_t size) override
    {
        kj::ArrayPtr<const kj::byte> piece(static_cast<const kj::byte*>(buffer), size);
        return enqueue(kj::arrayPtr(&piece, 1));
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        return enqueue(pieces);
    }

    kj::Promise<void> whenWriteDisconnected() override
    {
        auto result = kj::newPromiseAndFulfiller<void>();
        m_state->disconnectFulfiller = kj::mv(result.fulfiller);
        return kj::mv(result.promise);
    }

    void shutdownWrite() override
    {
        error_code ec;
        m_state->socket.shutdown(tcp::socket::shutdown_send, ec);
    }

private:
    template <typename Pieces>
    kj::Promise<void> enqueue(const Pieces& pieces)
    {
        for (auto& piece : pieces)
            m_state->pending.insert(m_state->pending.end(), piece.begin(), piece.end());
        auto written = kj::newPromiseAndFulfiller<void>();
        m_state->pendingWriters.push_back(kj::mv(written.fulfiller));
        if (!m_state->isSending) {
            m_state->isSending = true;
            // After the events that are ready now: what they write as well goes out in the same send.
            boost::asio::post(m_state->socket.get_executor(), [state = m_state] { send(state); });
        }
        return kj::mv(written.promise);
    }

    std::shared_ptr<SocketState> m_state;
};

} // namespace internal

kj::Own<kj::AsyncIoStream> makeAsioStream(boost::asio::ip::tcp::socket socket)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    return kj::heap<internal::AsioStream>(std::move(socket));
}

} // namespace swiftloft::rpc
