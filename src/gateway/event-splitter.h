#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace swiftloft::gateway {

/// One whole event of a stream, with the blank line that ends it.
struct StreamEvent {
    std::string bytes;
    /// Its `id` field, when that is a number.
    std::optional<std::uint64_t> id;
};

/// Cuts the bytes of a `text/event-stream` body into whole events.
///
/// Failure: a backend server that dies stops in the middle of an event. Passed on, the half event would be glued to the
/// first one of the server that resumes the stream. So only whole events leave here.
class EventSplitter {
public:
    /// Takes the next bytes and returns the events that they complete.
    std::vector<StreamEvent> append(std::string_view bytes);
    /// True when bytes of an unfinished event are held.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }
    void reset() { m_partialEvent.clear(); }

private:
    std::string m_partialEvent;
};

} // namespace swiftloft::gateway
