#pragma once

#include <swiftloft/units.h>

#include <cstddef>
#include <functional>
#include <list>

namespace swiftloft::gateway {

/// Memory of all whole responses that are buffered for clients. If it is used up, the response that has been on its way to its
/// client for longest is given up for a new one.
class ResponseMemory {
public:
    /// Upper bound of all responses together, unless another is given.
    static constexpr std::size_t maxBytes { std::size_t { 48 } << 20 };
    /// Responses up to this size may take a third more.
    static constexpr std::size_t maxSmallBytes { std::size_t { 256 } << 10 };
    /// Time that a client has to accept a response before large ones may take its memory.
    static constexpr milliseconds protectedTime { 1000 };

    explicit ResponseMemory(std::size_t max = maxBytes)
        : m_maxBytes(max)
    {
    }

    /// The part that one response takes. Must not outlive the memory.
    class Share {
    public:
        explicit Share(ResponseMemory& memory)
            : m_memory(memory)
        {
        }
        ~Share();
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        /// Adds bytes that were read from the server. Returns false if there is no memory for them.
        bool add(TimePoint now, std::size_t size);
        /// The response is complete and begins to be written to its client. `giveUp` is called if its memory is needed; it must
        /// end the delivery.
        void startDelivery(TimePoint now, std::function<void()> giveUp);

    private:
        friend class ResponseMemory;
        /// Removes the share from the memory.
        void release();

        ResponseMemory& m_memory;
        std::size_t m_size { 0 };
        /// Unset until the delivery starts.
        std::function<void()> m_giveUp;
        TimePoint m_protectedUntil;
    };

private:
    /// Gives up the oldest large delivery. Returns false if there is none that is not protected.
    bool reclaimLarge(TimePoint now);
    /// Gives up the oldest delivery. Returns false if there is none.
    bool reclaimAny();
    void giveUp(Share& share);

    std::size_t m_maxBytes;
    std::size_t m_sum { 0 };
    /// Shares whose delivery has started, the oldest first.
    std::list<Share*> m_deliveries;
};

} // namespace swiftloft::gateway
