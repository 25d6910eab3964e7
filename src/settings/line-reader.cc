#include "src/settings/line-reader.h"

#include "src/settings/text.h"

#include <ini.h>

#include <algorithm>
#include <cstring>

namespace swiftloft::settings::internal {

namespace {

constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

bool hasControlCharacter(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < ' ' && c != '\t'; });
}

/// Stands between inih and the text: hands out one trimmed line a call, keeps its number, and itself answers for what
/// inih would pass over in silence (sections without keys, headings over 49 bytes, control characters, long lines,
/// lines it can't read beyond the first).
class Feed {
public:
    Feed(std::string_view text, const LineHandler& handler)
        : m_rest(text)
        , m_handler(handler)
    {
        if (m_rest.starts_with(byteOrderMark))
            m_rest.remove_prefix(byteOrderMark.size());
    }

    char* next(char* buf, int size)
    {
        while (!m_rest.empty()) {
            finishLine();
            takeLine();
            if (isForInih(static_cast<std::size_t>(size)))
                return copyTo(buf);
        }
        finishLine();
        return nullptr;
    }

    void take(const char* key, const char* value)
    {
        m_awaitsEntry = false;
        m_handler.entry(m_number, key, value);
    }

private:
    void takeLine()
    {
        auto end = m_rest.find('\n');
        m_line = trim(m_rest.substr(0, end));
        m_rest.remove_prefix(end == std::string_view::npos ? m_rest.size() : end + 1);
        ++m_number;
    }

    bool isForInih(std::size_t size)
    {
        if (m_line.empty() || m_line[0] == '#' || m_line[0] == ';')
            return false;
        auto isTooLong = m_line.size() > maxLineLength || m_line.size() + 2 > size;
        if (isTooLong || hasControlCharacter(m_line)) {
            m_handler.bad(m_number, m_line, isTooLong);
            return false;
        }
        if (m_line[0] == '[')
            return takeHeading();
        m_awaitsEntry = true;
        return true;
    }

    bool takeHeading()
    {
        auto end = m_line.find(']');
        auto after = end == std::string_view::npos ? std::string_view("?") : trim(m_line.substr(end + 1));
        if (!after.empty() && after[0] != ';' && after[0] != '#')
            m_handler.bad(m_number, m_line, false);
        else
            m_handler.section(m_number, trim(m_line.substr(1, end - 1)));
        return false;
    }

    char* copyTo(char* buf) const
    {
        std::memcpy(buf, m_line.data(), m_line.size());
        buf[m_line.size()] = '\n';
        buf[m_line.size() + 1] = '\0';
        return buf;
    }

    /// A line that inih took and made no entry of.
    void finishLine()
    {
        if (m_awaitsEntry)
            m_handler.bad(m_number, m_line, false);
        m_awaitsEntry = false;
    }

    std::string_view m_rest;
    std::string_view m_line;
    std::uint32_t m_number { 0 };
    bool m_awaitsEntry { false };
    const LineHandler& m_handler;
};

char* nextLine(char* buf, int size, void* feed)
{
    return static_cast<Feed*>(feed)->next(buf, size);
}

int takeEntry(void* feed, const char*, const char* key, const char* value)
{
    static_cast<Feed*>(feed)->take(key, value);
    return 1;
}

} // namespace

void readLines(std::string_view text, const LineHandler& handler)
{
    Feed feed(text, handler);
    ini_parse_stream(nextLine, &feed, takeEntry, &feed);
}

} // namespace swiftloft::settings::internal
