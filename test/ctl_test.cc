#include "test/ctl-runner.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace swiftloft;
using namespace swiftloft::ctl;

namespace {

/// Files that go away with the test.
class Files {
public:
    Files()
        : m_folder(std::filesystem::temp_directory_path() / ("swiftloft-ctl-test-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_folder);
    }
    ~Files() { std::filesystem::remove_all(m_folder); }

    std::string write(const std::string& name, std::string_view text) const
    {
        auto path = (m_folder / name).string();
        std::ofstream(path) << text;
        return path;
    }

private:
    std::filesystem::path m_folder;
};

const std::string viaHe = SWIFTLOFT_SOURCE_DIR "/samples/settings/via-he.ini";
const std::string rasoiRahdari = SWIFTLOFT_SOURCE_DIR "/samples/settings/rasoi-rahdari.ini";

using Catch::Matchers::Contains;

} // namespace

TEST_CASE("Ctl: check accepts the sample trees and says what they hold")
{
    CHECK(ran({ "check", viaHe }).code == ExitCode::Ok);
    auto result = ran({ "check", rasoiRahdari });
    CHECK(result.code == ExitCode::Ok);
    CHECK_THAT(result.out, Contains("2 services, 3 groups, 10 organisations, 3 data centres"));
}

TEST_CASE("Ctl: check names every problem with file, line, key and what was expected")
{
    Files files;
    auto path = files.write("bad.ini", "[service a]\nkind = plain\nqueue-limit = lots\nburst = 1\n");
    auto result = ran({ "check", path });
    CHECK(result.code == ExitCode::Finding);
    CHECK_THAT(result.err, Contains(path + ":3: [service a] queue-limit: found \"lots\", expected a whole number without unit"));
    CHECK_THAT(result.err, Contains(path + ":4: [service a] burst: found \"1\", expected a duration"));
    auto report = boost::json::parse(ran({ "check", path, "--json" }).out);
    CHECK(report.at("problems").as_array().size() == 2);
    CHECK(report.at("problems").at(0).at("line") == 3);
}

TEST_CASE("Ctl: show names the section and line behind each value in force")
{
    auto result = ran({ "show", rasoiRahdari, "group", "dispatch-surat" });
    CHECK(result.code == ExitCode::Ok);
    CHECK_THAT(result.out, Contains("quiet-hours") && Contains("05:30-09:30, 11:00-12:30 +05:30  service dispatch ("));
    CHECK_THAT(ran({ "show", viaHe, "organisation permit-office at service drafting" }).out, Contains("60/s"));
    CHECK(ran({ "show", viaHe, "service nothing" }).code == ExitCode::Finding);
    CHECK(ran({ "show", viaHe, "zone x" }).code == ExitCode::Usage);
}

TEST_CASE("Ctl: diff lists the nodes that an edit touches through inheritance")
{
    Files files;
    auto before = files.write("old.ini", "[service a]\nkind = plain\n[service b]\nparent = service a\n");
    auto after = files.write("new.ini", "[service a]\nkind = plain\nqueue-limit = 5\n[service b]\nparent = service a\n");
    auto result = ran({ "diff", before, after });
    CHECK(result.code == ExitCode::Ok);
    CHECK_THAT(result.out, Contains("service b  changed  queue-limit  1000    5") && Contains("2 nodes touched"));
    auto report = boost::json::parse(ran({ "diff", "--json", before, after }).out);
    CHECK(report.at("nodes").as_array().size() == 2);
}

TEST_CASE("Ctl: a manifest of parts is checked as one tree, and a part that was edited since is found")
{
    Files files;
    auto first = files.write("first.ini", "[service a]\nkind = plain\n");
    auto second = files.write("second.ini", "[service b]\nparent = service a\n");
    auto manifest = files.write("tree.ini", ran({ "manifest", first, second }).out);
    CHECK_THAT(ran({ "check", manifest }).out, Contains("2 services"));
    files.write("second.ini", "[service c]\nparent = service a\n");
    auto result = ran({ "check", manifest });
    CHECK(result.code == ExitCode::Finding);
    CHECK_THAT(result.err, Contains("second.ini:1: [part second] sha256:"));
}

TEST_CASE("Ctl: every command has help and version, and refuses an unknown option")
{
    CHECK(ran({ "--help" }).code == ExitCode::Ok);
    CHECK(ran({ "--version" }).out == "swiftloft-ctl " SWIFTLOFT_VERSION "\n");
    CHECK(ran({}).code == ExitCode::Usage);
    CHECK(ran({ "--nonsense" }).code == ExitCode::Usage);
    for (auto& command : commands()) {
        INFO(command.name);
        std::string name(command.name);
        CHECK_THAT(ran({ name, "--help" }).out, Contains("--json"));
        CHECK(ran({ name, "--version" }).code == ExitCode::Ok);
        auto result = ran({ name, "--nonsense" });
        CHECK(result.code == ExitCode::Usage);
        CHECK_THAT(result.err, Contains("nonsense"));
    }
}

TEST_CASE("Ctl: events prints the catalogue and keys the rows of the reference page")
{
    CHECK_THAT(ran({ "events" }).out, Contains("400  RevisionAccepted"));
    CHECK_THAT(ran({ "keys" }).out, Contains("| `request-deadline` | duration |"));
}
