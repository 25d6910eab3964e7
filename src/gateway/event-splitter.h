#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace swiftloft::gateway {

/// One complete event of a stream, with the blank line that ends it.
struct StreamEvent {
    std::string bytes;
    /// Value of the `id` field, if it is a number.
    std::optional<std::uint64_t> id;
};

/// Splits the bytes of a `text/event-stream` body into complete events.
///
/// Returns only complete events, because a backend server can die in the middle of an event. If the partial event were
/// forwarded, the client would join it with the first event of the server that resumes the stream.
class EventSplitter {
public:
    /// Maximum size of one event.
    static constexpr std::size_t maxEventBytes { std::size_t { 1 } << 20 };

    /// Appends the next bytes and returns the events that they complete.
    std::vector<StreamEvent> append(std::string_view bytes);
    /// True if the buffer holds bytes of an incomplete event.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }
    /// True if the incomplete event is larger than `maxEventBytes`.
    bool isEventTooLarge() const { return m_partialEvent.size() > maxEventBytes; }
    void reset()
    {
        m_partialEvent.clear();
        m_searchedBytes = 0;
    }

private:
    std::string m_partialEvent;
    /// Bytes of the incomplete event that contain no end, so that each byte is searched once.
    std::size_t m_searchedBytes { 0 };
};

} // namespace swiftloft::gateway
