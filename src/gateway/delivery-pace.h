#pragma once

#include <swiftloft/units.h>

#include <cstdint>

namespace swiftloft::gateway {

/// Decides when a client that accepts its response too slowly is given up: it must accept `minBytes` in each window, however
/// long the whole response takes.
class DeliveryPace {
public:
    static constexpr milliseconds window { 10'000 };
    static constexpr std::uint64_t minBytes { 64U << 10 };

    /// Bytes begin to wait for the client. `delivered` is the number of bytes that it has accepted so far on its connection.
    void start(TimePoint now, std::uint64_t delivered)
    {
        m_checkAt = now + window;
        m_deliveredBefore = delivered;
    }

    /// True at the end of a window in which the client has accepted too little. Otherwise the next window starts.
    bool isTooSlow(TimePoint now, std::uint64_t delivered)
    {
        if (now < m_checkAt)
            return false;
        bool isSlow = delivered < m_deliveredBefore + minBytes;
        start(now, delivered);
        return isSlow;
    }

    /// End of the current window.
    TimePoint checkAt() const { return m_checkAt; }

private:
    TimePoint m_checkAt;
    std::uint64_t m_deliveredBefore { 0 };
};

} // namespace swiftloft::gateway
