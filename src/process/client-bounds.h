#pragma once

#include <swiftloft/units.h>

#include <array>
#include <cstddef>
#include <functional>
#include <list>
#include <optional>

namespace swiftloft::process {

/// Bounds what clients can make a process keep: connections, and the bytes of the requests of all connections together. If a
/// bound is reached, a connection that has made no progress for longest makes way. A request in progress is never given up.
/// Belongs to one thread.
class ClientBounds {
public:
    struct Options {
        std::size_t maxConnections { 0 };
        std::size_t maxBytes { 0 };
    };

    /// What a connection takes beside its request.
    static constexpr std::size_t connectionBytes { std::size_t { 8 } << 10 };
    /// A connection with more is large. Large ones can't use the last quarter of the bytes, and make way first.
    static constexpr std::size_t maxSmallBytes { std::size_t { 64 } << 10 };
    /// Bytes that a client must send to count as one that makes progress.
    static constexpr std::size_t progressBytes { std::size_t { 4 } << 10 };

    /// What others need of the connection that makes way.
    enum class Needed {
        /// Its descriptor: the connection must be closed at once.
        Connection,
        /// Its bytes: the request must not be read any further.
        Bytes,
    };
    using GiveUp = std::function<void(Needed needed)>;

    /// What one connection takes. Must not outlive the bounds.
    class Share {
    public:
        /// `giveUp` is called when the connection must make way. It must not destroy the share.
        Share(ClientBounds& bounds, GiveUp giveUp);
        ~Share();
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        /// False if there are too many connections and none can make way: this one must be closed.
        bool isAdmitted() const { return m_isCounted; }
        /// The connection waits for a request or reads one.
        void startReading(TimePoint now);
        /// The request is in progress, or its client accepts the response.
        void startProgress();
        /// The client does not accept its response, or has got it and does not close the connection.
        void onStalled(TimePoint now);
        /// Sets the number of bytes that the request takes. Returns false if there is no room: the request must be refused.
        bool resize(TimePoint now, std::size_t bytes);

    private:
        friend class ClientBounds;
        enum class Kind { Large,
            Small,
            Stalled };

        void enqueue(Kind kind, TimePoint now);
        void dequeue();
        void makeWay(Needed needed);

        ClientBounds& m_bounds;
        GiveUp m_giveUp;
        std::size_t m_bytes { connectionBytes };
        std::size_t m_bytesAtProgress { 0 };
        TimePoint m_progressAt;
        std::list<Share*>::iterator m_position;
        /// The queue that the share is in; unset if it can't make way.
        std::optional<Kind> m_kind;
        bool m_isReading { false };
        bool m_isCounted { false };
    };

    explicit ClientBounds(const Options& options)
        : m_options(options)
    {
    }
    ClientBounds(const ClientBounds&) = delete;
    ClientBounds& operator=(const ClientBounds&) = delete;

    /// Bytes that a single request may take.
    std::size_t maxRequestBytes() const { return maxLargeBytes() / 2; }
    std::size_t connections() const { return m_connections; }
    std::size_t bytes() const { return m_bytes; }
    /// Number of connections that were closed or requests that were refused because a bound was reached.
    std::uint64_t madeWay() const { return m_madeWay; }

private:
    std::size_t maxLargeBytes() const { return m_options.maxBytes - m_options.maxBytes / 4; }
    std::list<Share*>& queueOf(Share::Kind kind) { return m_queues[static_cast<std::size_t>(kind)]; }
    /// Lets the connection that has made no progress for longest make way. Returns false if there is none.
    bool freeConnection();
    /// Lets another request than that of `share` make way. Returns false if there is none.
    bool freeBytes(const Share& share);

    Options m_options;
    /// By kind, the longest without progress first.
    std::array<std::list<Share*>, 3> m_queues;
    std::size_t m_connections { 0 };
    std::size_t m_bytes { 0 };
    std::uint64_t m_madeWay { 0 };
};

} // namespace swiftloft::process
