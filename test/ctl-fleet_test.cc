#include "src/burn/windows.h"
#include "src/ctl/fetch.h"
#include "src/entry/route-page.h"
#include "test/ctl-runner.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace swiftloft;
using namespace swiftloft::ctl;

namespace {

namespace asio = boost::asio;

/// Answers every connection with one body, or accepts and stays silent when there is none.
class Server {
public:
    explicit Server(std::optional<std::string> body)
        : m_acceptor(m_context, Endpoint(asio::ip::address_v4::loopback(), 0))
        , m_body(std::move(body))
        , m_thread([this] { serve(); })
    {
    }
    ~Server()
    {
        m_isStopping = true;
        asio::ip::tcp::socket(m_context).connect(m_acceptor.local_endpoint());
        m_thread.join();
    }

    std::string address() const { return ctl::toString(m_acceptor.local_endpoint()); }

private:
    void serve()
    {
        for (;;) {
            auto& socket = m_sockets.emplace_back(m_acceptor.accept());
            if (m_isStopping)
                return;
            if (m_body)
                answer(socket);
        }
    }

    void answer(asio::ip::tcp::socket& socket) const
    {
        std::string request;
        boost::system::error_code ec;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ec);
        asio::write(socket, asio::buffer(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", m_body->size(), *m_body)), ec);
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::optional<std::string> m_body;
    std::vector<asio::ip::tcp::socket> m_sockets;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

/// An address at which nothing listens.
std::string closedAddress()
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, Endpoint(asio::ip::address_v4::loopback(), 0));
    return ctl::toString(acceptor.local_endpoint());
}

std::string burnBody(const char* instance, int bad)
{
    auto now = TimePoint(std::chrono::hours(1000));
    burn::BurnWindows windows(now);
    for (int it = 0; it < 100; ++it)
        windows.add(now, ServiceName("drafting"), OrganisationName("permit-office"), it < bad ? burn::Outcome::Bad : burn::Outcome::Good, "slow");
    return burn::toJson(windows.report(now + std::chrono::seconds(60), InstanceId(instance), "2026-01-01T00:00:00Z"));
}

const std::string viaHe = SWIFTLOFT_SOURCE_DIR "/samples/settings/via-he.ini";

using Catch::Matchers::Contains;

} // namespace

TEST_CASE("CtlFleet: status shows who answers and says who doesn't")
{
    // One entry of three has died and one is frozen: it still accepts connections and never answers. The operator must
    // see the third at once, and both others named, rather than a command that hangs.
    Server good(R"({"instance":"e1","role":"entry","data_centre":"tay-ho","state":"ready","settings_revision":7,"in_flight":3,"backend_servers":[{"id":"b1","service":"drafting","data_centre":"tay-ho","state":"up","load":0.5}]})");
    Server frozen(std::nullopt);
    auto closed = closedAddress();
    auto result = ran({ "status", "--timeout", "200ms", "--backend-servers", "--entry", good.address(), "--entry", frozen.address(), "--entry", closed });
    CHECK(result.code == ExitCode::Finding);
    CHECK_THAT(result.out, Contains("e1") && Contains("no answer in time") && Contains("Connection refused") && Contains("b1"));
}

TEST_CASE("CtlFleet: maps shows a held group and names the ranks that are silent")
{
    // The agent of rank 1 hangs while its group is armed. The operator must see that the group stands, at which step and
    // for whom.
    Server first(R"({"group":"g","rank":0,"ranks":2,"is_waiting":true,"engine":{"map_version":16,"step":40,"armed":{"map_version":17,"step":41}},"coordinator":{"phase":"arming","silent_ranks":[1],"held_step":40}})");
    Server second(std::nullopt);
    auto result = ran({ "maps", "--timeout", "200ms", "--agent", first.address(), "--agent", second.address() });
    CHECK(result.code == ExitCode::Finding);
    CHECK_THAT(result.out, Contains("0000000000000011 at 41") && Contains("arming") && Contains("no answer in time"));
    Server idle(R"({"group":"g","rank":0,"ranks":2,"is_waiting":false,"engine":{"map_version":16,"step":40,"armed":null},"coordinator":{"phase":"idle","silent_ranks":[],"held_step":null}})");
    CHECK(ran({ "maps", "--agent", idle.address() }).code == ExitCode::Ok);
    Server older("{}");
    CHECK(ran({ "maps", "--agent", older.address() }).code == ExitCode::Finding);
}

TEST_CASE("CtlFleet: status says when an entry refuses a revision or runs another one")
{
    Server first(R"({"instance":"e1","state":"ready","settings_revision":7,"refused_revision":8,"refused_reason":"settings:3: bad"})");
    Server second(R"({"instance":"e2","state":"ready","settings_revision":6,"refused_revision":null})");
    auto result = ran({ "status", "--entry", first.address(), "--entry", second.address() });
    CHECK(result.code == ExitCode::Finding);
    CHECK_THAT(result.err, Contains("e1 refuses settings revision 8: settings:3: bad") && Contains("2 settings revisions are in force"));
}

TEST_CASE("CtlFleet: nobody answers, or nobody is named")
{
    CHECK(ran({ "status", "--entry", closedAddress() }).code == ExitCode::Unreachable);
    CHECK(ran({ "burn", "--settings", viaHe, "--entry", closedAddress() }).code == ExitCode::Unreachable);
    CHECK(ran({ "status" }).code == ExitCode::Usage);
    CHECK(ran({ "status", "--entry", "localhost:80" }).code == ExitCode::Usage);
    CHECK(ran({ "burn", "--entry", closedAddress() }).code == ExitCode::Usage);
}

TEST_CASE("CtlFleet: burn adds up the entries, names the missing one and writes one page")
{
    Server first(burnBody("e1", 0));
    Server second(burnBody("e2", 10));
    auto page = std::filesystem::temp_directory_path() / fmt::format("swiftloft-burn-{}.html", getpid());
    auto result = ran({ "burn", "--settings", viaHe, "--html", page.string(), "--entry", first.address(), "--entry", second.address(), "--entry", closedAddress() });
    CHECK(result.code == ExitCode::Finding);
    CHECK_THAT(result.out, Contains("permit-office") && Contains("fast") && Contains("slow 10") && Contains("2 of 3 entries answered") && Contains("missing: "));
    std::ifstream file(page);
    std::string html { std::istreambuf_iterator<char>(file), {} };
    CHECK_THAT(html, Contains("<svg") && Contains("</html>") && !Contains("http://") && !Contains("src="));
    std::filesystem::remove(page);
    auto report = boost::json::parse(ran({ "burn", "--json", "--settings", viaHe, "--entry", second.address() }).out);
    CHECK(report.at("rows").at(0).at("burn").at(0).at("bad") == 10);
}

TEST_CASE("CtlFleet: route says where each entry would send the next request, in the words of the entry's own page")
{
    policy::RouteExplanation ejected;
    ejected.id = BackendServerId("engine-2");
    ejected.state = policy::ServerState::Ejected;
    policy::RouteExplanation good;
    good.id = BackendServerId("engine-1");
    good.expectedFirstByte = std::chrono::microseconds(12500);
    good.isLocal = false;
    std::array rows { good, ejected };
    Server entry(entry::toJson({ InstanceId("e1"), DataCentreName("tay-ho"), ServiceName("drafting"), rows }));
    auto result = ran({ "route", "--service", "drafting", "--entry", entry.address() });
    CHECK(result.code == ExitCode::Ok);
    CHECK_THAT(result.out, Contains("e1: the next request goes to engine-1, first byte expected in 12.5 ms, in another data centre") && Contains("ejected"));
}

TEST_CASE("CtlFleet: route finds fault with an entry that has nowhere to send a request, and with one that is missing")
{
    policy::RouteExplanation ejected;
    ejected.id = BackendServerId("engine-2");
    ejected.state = policy::ServerState::Ejected;
    std::array rows { ejected };
    Server entry(entry::toJson({ InstanceId("e1"), DataCentreName("tay-ho"), ServiceName("drafting"), rows }));
    auto result = ran({ "route", "--service", "drafting", "--entry", entry.address(), "--entry", closedAddress() });
    CHECK(result.code == ExitCode::Finding);
    CHECK_THAT(result.out, Contains("no backend server of drafting can take a request"));
    CHECK_THAT(result.err, Contains("Connection refused"));
    CHECK(ran({ "route", "--service", "drafting", "--entry", closedAddress() }).code == ExitCode::Unreachable);
    CHECK(ran({ "route", "--entry", closedAddress() }).code == ExitCode::Usage);
    CHECK(ran({ "route", "--service", "no such name", "--entry", closedAddress() }).code == ExitCode::Usage);
}
