#include "src/replay/sse-parser.h"

namespace swiftloft::replay {

namespace {

std::string_view valueAfter(std::string_view line, std::size_t name)
{
    line.remove_prefix(name);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}

} // namespace

SseParser::SseParser(OnEvent onEvent)
    : m_onEvent(std::move(onEvent))
{
}

void SseParser::feed(std::string_view bytes)
{
    for (;;) {
        auto end = bytes.find('\n');
        m_line += bytes.substr(0, end);
        if (end == std::string_view::npos)
            return;
        takeLine();
        m_line.clear();
        bytes.remove_prefix(end + 1);
    }
}

void SseParser::takeLine()
{
    std::string_view line = m_line;
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty()) {
        if (m_hasFields)
            m_onEvent(m_event);
        m_event = {};
        m_hasFields = false;
        return;
    }
    if (line.starts_with(':'))
        return;
    m_hasFields = true;
    constexpr std::string_view dataField = "data:";
    constexpr std::string_view eventField = "event:";
    if (line.starts_with(dataField)) {
        if (!m_event.data.empty())
            m_event.data += '\n';
        m_event.data += valueAfter(line, dataField.size());
    } else if (line.starts_with(eventField)) {
        m_event.name = valueAfter(line, eventField.size());
    }
}

} // namespace swiftloft::replay
