#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/membership/message.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace swiftloft::spread {

using membership::Topic;

namespace internal {
class HttpCall;
} // namespace internal

enum class PlatformOutcome : std::uint8_t {
    Body, ///< A body with its revision, which may be older than the one asked past.
    Unchanged, ///< The service answered that there is nothing newer.
    OverRate, ///< The service refused the call for its rate.
    Failed, ///< No answer by the deadline, a broken connection or an answer that makes no sense.
};

struct PlatformAnswer {
    PlatformOutcome outcome { PlatformOutcome::Failed };
    Revision revision;
    std::string body;
    std::string problem; ///< Why it failed, for the log.
};

/// Reads the platform's configuration service and instance list over HTTP.
///
/// Each call takes a connection of its own: a watch whose connection has gone silent then ends at its deadline and the
/// next call starts on a fresh one, with no pooled connection to distrust. Not thread-safe; runs on the context's
/// thread.
class PlatformClient {
public:
    using Completion = std::function<void(PlatformAnswer)>;

    static std::shared_ptr<PlatformClient> create(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server);

    /// Reads `topic` at once.
    void fetch(Topic topic, TimePoint deadline, Completion done);
    /// Waits at the service until `topic` has a revision above `known`. Costs one call, as `fetch` does.
    void watch(Topic topic, Revision known, TimePoint deadline, Completion done);
    /// Reads a part of a tree that is published as a manifest. `Body` without a revision when it is there.
    void fetchPart(const std::string& digest, TimePoint deadline, Completion done);
    /// Ends all calls under way; their completions are not called.
    void stop();

    std::uint64_t callCount() const { return m_callCount; }

private:
    PlatformClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server);

    void call(const std::string& target, TimePoint deadline, Completion done);

    boost::asio::io_context& m_io;
    boost::asio::ip::tcp::endpoint m_server;
    std::vector<std::weak_ptr<internal::HttpCall>> m_calls;
    std::uint64_t m_callCount { 0 };
};

} // namespace swiftloft::spread
