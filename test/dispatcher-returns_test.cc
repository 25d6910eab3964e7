#include "src/gateway/dispatcher.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <vector>

using namespace swiftloft;
using namespace swiftloft::gateway;
using namespace swiftloft::gateway::dispatch;

namespace {

const TimePoint start { seconds(100) };
const ServiceName model { "model" };

Route routeOf(const std::string& prefix, unsigned priority)
{
    Route route;
    route.name = prefix;
    route.host = "h";
    route.prefix = prefix;
    route.isIdempotent = true;
    route.timeout = seconds(8);
    route.objective = milliseconds(400);
    route.priority = priority;
    route.services = { { model, 1 } };
    return route;
}

/// One server with one slot, behind an urgent route and one for drafts.
struct Rig {
    Rig()
    {
        ConfigurationParts parts;
        parts.services.push_back({ model, "/health" });
        parts.routes = { routeOf("/urgent/", 0), routeOf("/draft/", 2) };
        configuration = Configuration::create(std::move(parts)).value();
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->configuration = configuration;
        snapshot->servers = { { BackendServerId("s1"), model, { boost::asio::ip::address_v4(0x0a000001), 8000 }, DataCentreName("a"), 1, ServerState::Ready } };
        apply(SnapshotChanged { snapshot });
    }

    /// Without the estimate all of a crowd wait, and are refused at the same moment.
    static DispatcherOptions options()
    {
        DispatcherOptions out;
        out.estimate.isEnabled = false;
        return out;
    }

    void apply(const Event& event)
    {
        for (auto& effect : dispatcher.apply(now, event)) {
            if (auto* refusal = std::get_if<Refuse>(&effect); refusal && refusal->retryAt)
                returns[refusal->call] = *refusal->retryAt;
        }
    }

    CallId arrive(std::size_t route)
    {
        auto& it = configuration->routes()[route];
        CallId id(++lastId);
        apply(RequestArrived { id, { configuration, &it, it.priority, now, now + it.timeout, Tokens(100), Tokens(50) } });
        return id;
    }

    TimePoint now { start };
    std::uint64_t lastId { 0 };
    std::shared_ptr<const Configuration> configuration;
    /// When the clients of refused requests are told to return.
    std::map<CallId, TimePoint> returns;
    Dispatcher dispatcher { options(), policy::Generator(3) };
};

} // namespace

// Guards against clients that are refused twice: a crowd is refused at one moment and told to return together, whatever
// the service can take.
TEST_CASE("Dispatcher: clients refused together return one after the other, the urgent one first")
{
    Rig rig;
    // The service takes ten requests a second.
    for (int n = 0; n < 50; ++n) {
        auto id = rig.arrive(1);
        rig.now += milliseconds(100);
        rig.apply(AttemptEnded { id, AttemptOutcome::Answered });
        rig.apply(CallClosed { id });
    }
    rig.arrive(1);
    std::vector<CallId> drafts(12);
    std::generate(drafts.begin(), drafts.end(), [&] { return rig.arrive(1); });
    auto urgent = rig.arrive(0);
    rig.now += milliseconds(500);
    rig.apply(Ticked {});
    auto& returns = rig.returns;
    REQUIRE(returns.size() == drafts.size() + 1);
    for (std::size_t n = 1; n < drafts.size(); ++n)
        CHECK(returns[drafts[n]] > returns[drafts[n - 1]]);
    CHECK(returns[urgent] < returns[drafts.front()]);
    CHECK(returns[drafts.back()] - rig.now > seconds(1));
}
