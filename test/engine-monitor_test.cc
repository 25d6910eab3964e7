#include "src/agent/engine-monitor.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <unistd.h>

using namespace swiftloft;
using namespace swiftloft::agent;

namespace {

/// Lets the process open no further descriptors.
class NoDescriptorsLeft {
public:
    NoDescriptorsLeft()
    {
        getrlimit(RLIMIT_NOFILE, &m_limit);
        int next = dup(STDOUT_FILENO);
        close(next);
        auto lowered = m_limit;
        lowered.rlim_cur = static_cast<rlim_t>(next);
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~NoDescriptorsLeft() { setrlimit(RLIMIT_NOFILE, &m_limit); }
    NoDescriptorsLeft(const NoDescriptorsLeft&) = delete;
    NoDescriptorsLeft& operator=(const NoDescriptorsLeft&) = delete;

private:
    rlimit m_limit {};
};

/// Probes an address at which nothing listens, and returns the first event.
EngineDown firstEvent(bool hasDescriptors)
{
    boost::asio::io_context ioContext;
    boost::asio::ip::tcp::acceptor unused(ioContext, { boost::asio::ip::address_v4::loopback(), 0 });
    auto address = unused.local_endpoint();
    unused.close();
    std::optional<EngineDown> event;
    EngineMonitor monitor(ioContext, address, [&](const Event& it) {
        event = std::get<EngineDown>(it);
        ioContext.stop();
    });
    monitor.start();
    std::optional<NoDescriptorsLeft> limit;
    if (!hasDescriptors)
        limit.emplace();
    ioContext.run_for(seconds(5));
    REQUIRE(event);
    return *event;
}

} // namespace

// Guards against this failure: an agent that has no descriptors left reports that its engine has crashed, and all
// requests in flight become suspects.
TEST_CASE("EngineMonitor: a probe that fails for a reason of its own reports no crash")
{
    CHECK(firstEvent(true).hasCrashed);
    CHECK_FALSE(firstEvent(false).hasCrashed);
}
