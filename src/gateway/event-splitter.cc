#include "src/gateway/event-splitter.h"

#include <algorithm>
#include <charconv>

namespace swiftloft::gateway {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view eventEndCrLf = "\r\n\r\n";
constexpr std::string_view idField = "id:";

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    std::uint64_t number = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc())
        return std::nullopt;
    return number;
}

std::optional<std::uint64_t> idOf(std::string_view event)
{
    while (!event.empty()) {
        auto end = event.find('\n');
        auto line = event.substr(0, end);
        if (line.starts_with(idField))
            return parseNumber(line.substr(idField.size()));
        if (end == std::string_view::npos)
            break;
        event.remove_prefix(end + 1);
    }
    return std::nullopt;
}

/// Offset of the first byte after the first event of `text`, or npos. No event ends before `from`.
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    auto plain = text.find(eventEnd, from);
    auto crLf = text.find(eventEndCrLf, from);
    if (plain == std::string_view::npos && crLf == std::string_view::npos)
        return std::string_view::npos;
    return crLf < plain ? crLf + eventEndCrLf.size() : plain + eventEnd.size();
}

} // namespace

std::vector<StreamEvent> EventSplitter::append(std::string_view bytes)
{
    m_partialEvent.append(bytes);
    std::vector<StreamEvent> events;
    std::size_t begin = 0;
    auto from = m_searchedBytes;
    for (;;) {
        auto rest = std::string_view(m_partialEvent).substr(begin);
        auto end = endOfEvent(rest, from);
        if (end == std::string_view::npos)
            break;
        events.push_back({ std::string(rest.substr(0, end)), idOf(rest.substr(0, end)) });
        begin += end;
        from = 0;
    }
    m_partialEvent.erase(0, begin);
    // The end may have begun in the last bytes.
    constexpr auto overlap = eventEndCrLf.size() - 1;
    m_searchedBytes = m_partialEvent.size() - std::min(m_partialEvent.size(), overlap);
    return events;
}

} // namespace swiftloft::gateway
