#include "src/log/logger.h"
#include "src/log/problem.h"

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <fstream>
#include <set>
#include <string>
#include <vector>

using namespace swiftloft;

namespace {

std::vector<std::string> rowsOfCatalogueInDocs()
{
    std::ifstream file(SWIFTLOFT_SOURCE_DIR "/docs/EVENTS.md");
    std::vector<std::string> rows;
    for (std::string line; std::getline(file, line);) {
        if (line.size() > 2 && line[0] == '|' && isdigit(static_cast<unsigned char>(line[2])))
            rows.push_back(line);
    }
    return rows;
}

} // namespace

TEST_CASE("Events: docs/EVENTS.md lists exactly the events of the code")
{
    std::vector<std::string> expected;
    for (auto& info : log::catalogue())
        expected.push_back(fmt::format("| {} | {} | {} | {} |", static_cast<int>(info.event), info.name, log::toString(info.level), info.text));
    CHECK(rowsOfCatalogueInDocs() == expected);
}

TEST_CASE("Events: no number or name is used twice")
{
    std::set<log::Event> numbers;
    std::set<std::string_view> names;
    for (auto& info : log::catalogue()) {
        CHECK(numbers.insert(info.event).second);
        CHECK(names.insert(info.name).second);
    }
}

TEST_CASE("Logger: a line carries level, number, name, process and details")
{
    std::string got;
    log::setLineSink([&](std::string_view line) { got = line; });
    log::setProcessName("entry-1");
    log::write(log::Event::ProcessStarted, "role={}", "entry");
    log::setLineSink([](std::string_view) {});
    CHECK_THAT(got, Catch::Matchers::EndsWith("Z info 100 ProcessStarted entry-1 role=entry"));
}

// An engine stays silent under load; each line about it named a place in a library's source, with a template name of 300
// characters, and nobody could read the rest.
TEST_CASE("Logger: the problem of a system error is its category and message")
{
    boost::system::error_code ec(boost::asio::error::timed_out, boost::asio::error::get_system_category());
    auto problem = log::problemOf(boost::system::system_error(ec, "a place in a source file"));
    CHECK(problem == "system: " + ec.message());
    CHECK(log::problemOf(std::runtime_error("field 'x' is missing")) == "field 'x' is missing");
}
