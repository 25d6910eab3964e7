#include "src/log/line-limit.h"

#include <fmt/format.h>

#include <atomic>
#include <memory>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace swiftloft::log {

namespace {

/// Lines that the reader of standard output did not take.
std::atomic<std::uint64_t> unread { 0 };

/// A pipe that polls as writable takes at least PIPE_BUF bytes at once; a longer line is cut to that.
constexpr std::size_t mostLineBytes = 4000;

bool isWritable(int fd)
{
    pollfd poller { fd, POLLOUT, 0 };
    return ::poll(&poller, 1, 0) == 1 && (poller.revents & POLLOUT) != 0;
}

void writeToStandardOutput(std::string_view line)
{
    auto text = fmt::format("{}\n", line.substr(0, mostLineBytes));
    // Failure: whoever reads the log stands still. A write would wait for it, and every request with it.
    if (!isWritable(STDOUT_FILENO) || ::write(STDOUT_FILENO, text.data(), text.size()) < 0)
        ++unread;
}

} // namespace

bool LineLimit::allows(Event event, Time now)
{
    std::scoped_lock lock(m_mutex);
    if (now >= m_secondBegan + std::chrono::seconds(1)) {
        m_secondBegan = now;
        m_lines = 0;
        m_served = 0;
    }
    bool isServed = event == Event::RequestServed;
    if (m_lines >= m_options.linesPerSecond || (isServed && m_served >= m_options.servedPerSecond)) {
        ++m_dropped;
        return false;
    }
    ++m_lines;
    m_served += isServed ? 1 : 0;
    return true;
}

std::uint64_t LineLimit::takeDropped()
{
    std::scoped_lock lock(m_mutex);
    return std::exchange(m_dropped, 0);
}

void logToStandardOutput(const LineLimit::Options& options)
{
    auto limit = std::make_shared<LineLimit>(options);
    setLineSink(writeToStandardOutput);
    auto lastSaid = std::make_shared<std::atomic<std::int64_t>>(0);
    setFilter([limit, lastSaid](Event event) {
        auto now = std::chrono::steady_clock::now();
        if (event == Event::LinesDropped)
            return true;
        auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
        if (lastSaid->exchange(second) != second) {
            auto dropped = limit->takeDropped() + unread.exchange(0);
            if (dropped > 0)
                write(Event::LinesDropped, "lines={}", dropped);
        }
        return limit->allows(event, now);
    });
}

} // namespace swiftloft::log
