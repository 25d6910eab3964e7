#include "src/entry/refusal.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <fstream>
#include <set>
#include <string>
#include <vector>

using namespace swiftloft;
using namespace swiftloft::entry;

namespace {

/// Greater than the number of the last reason. Reasons are numbered from 1 without gaps.
constexpr unsigned beyondReasons = 64;

std::vector<RefusalInfo> allReasons()
{
    std::vector<RefusalInfo> found;
    for (unsigned n = 1; n < beyondReasons; ++n) {
        auto& info = infoOf(static_cast<RefusalReason>(n));
        if (static_cast<unsigned>(info.reason) == n)
            found.push_back(info);
    }
    return found;
}

/// Returns the rows of the table that follows `heading`.
std::vector<std::string> rowsAfter(const std::string& heading)
{
    std::ifstream file(SWIFTLOFT_SOURCE_DIR "/docs/REFERENCE.md");
    std::vector<std::string> rows;
    auto isInside = false;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("#"))
            isInside = line == heading;
        if (isInside && line.size() > 2 && line[0] == '|' && isdigit(static_cast<unsigned char>(line[2])))
            rows.push_back(line);
    }
    return rows;
}

} // namespace

TEST_CASE("Refusals: docs/REFERENCE.md lists exactly the reasons of the code")
{
    std::vector<std::string> expected;
    for (auto& info : allReasons())
        expected.push_back(fmt::format("| {} | `{}` | {} | {} |", static_cast<unsigned>(info.reason), info.name, info.httpStatus, info.text));
    REQUIRE(expected.size() == static_cast<std::size_t>(RefusalReason::InFlightLimit));
    CHECK(rowsAfter("### Refusals") == expected);
}

TEST_CASE("Refusals: no name is used twice")
{
    std::set<std::string_view> names;
    for (auto& info : allReasons())
        CHECK(names.insert(info.name).second);
}

TEST_CASE("Refusals: the body carries number, name, verdict, text and Retry-After")
{
    Refusal refusal;
    refusal.reason = RefusalReason::Overloaded;
    refusal.retryAfter = std::chrono::seconds(3);
    CHECK(toJson(refusal) == R"({"reason":7,"name":"overloaded","verdict":"not-run","message":"the answer would come after the deadline","retry_after_seconds":3})"
                             "\n");
}
