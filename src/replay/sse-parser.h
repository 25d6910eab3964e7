#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace swiftloft::replay {

/// One server-sent event; `name` is empty for a plain message.
struct SseEvent {
    std::string name;
    std::string data;
};

/// Cuts a byte stream into server-sent events, however the bytes are split.
class SseParser {
public:
    using OnEvent = std::function<void(const SseEvent&)>;

    explicit SseParser(OnEvent);

    void feed(std::string_view bytes);
    /// True while bytes of an event that has not ended are held.
    bool isInsideEvent() const { return !m_line.empty() || m_hasFields; }

private:
    void takeLine();

    OnEvent m_onEvent;
    std::string m_line;
    SseEvent m_event;
    bool m_hasFields { false };
};

} // namespace swiftloft::replay
