#include <swiftloft/settings/schema.h>

#include <catch2/catch.hpp>

#include <fstream>

using namespace swiftloft;
using namespace swiftloft::settings;

namespace {

std::vector<std::string> rowsInReference()
{
    std::ifstream file(SWIFTLOFT_SOURCE_DIR "/docs/REFERENCE.md");
    std::vector<std::string> rows;
    auto isInSection = false;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("## "))
            isInSection = line == "## Settings keys";
        if (isInSection && line.starts_with("| `") && !line.starts_with("| `["))
            rows.push_back(line);
    }
    return rows;
}

std::string canonical(ValueType type, std::string_view text)
{
    auto value = parseValue(type, text);
    return value ? formatValue(type, *value) : "refused";
}

} // namespace

TEST_CASE("SettingsSchema: docs/REFERENCE.md lists exactly the keys of the code")
{
    CHECK(rowsInReference() == referenceRows());
}

TEST_CASE("SettingsSchema: each default is inside its key's range and reads back as itself")
{
    for (auto& info : schema()) {
        INFO(info.name);
        CHECK((info.presence == Presence::HasDefault) == !info.defaultText.empty());
        if (info.defaultText.empty())
            continue;
        auto value = parseValueOf(info.key, info.defaultText);
        REQUIRE(value.has_value());
        CHECK(parseValueOf(info.key, formatValue(info.type, *value)).value() == *value);
    }
}

TEST_CASE("SettingsSchema: values need their unit and nothing else")
{
    CHECK(canonical(ValueType::Duration, "90s") == "90s");
    CHECK(canonical(ValueType::Duration, "120 s") == "2min");
    CHECK(canonical(ValueType::Duration, "1.5ms") == "1500us");
    CHECK(canonical(ValueType::ByteSize, "2048KiB") == "2MiB");
    CHECK(canonical(ValueType::Percent, "99.9%") == "99.9%");
    CHECK(canonical(ValueType::Rate, "2.5/s") == "2.5/s");
    CHECK(canonical(ValueType::Methods, "POST, GET") == "GET, POST");
    CHECK(canonical(ValueType::QuietHours, "05:30-09:00,  23:00-01:00 -03:30") == "05:30-09:00, 23:00-01:00 -03:30");
    for (auto text : { "", "3", "-3s", "1e3s", "3 parsecs", "0.1us", "99999999999h", "nan", "1..5s", "0x10s" })
        CHECK(canonical(ValueType::Duration, text) == "refused");
    for (auto text : { "1.5", "+1", "1s", "99999999999999999999" })
        CHECK(canonical(ValueType::Count, text) == "refused");
    for (auto text : { "05:30-09:00", "5:30-09:00 +01:00", "05:30-05:30 +01:00", "24:00-01:00 +01:00", "05:30-09:00 +15:00", "05:30-09:00, +01:00" })
        CHECK(canonical(ValueType::QuietHours, text) == "refused");
}

TEST_CASE("SettingsSchema: quiet hours are in local time and may pass midnight")
{
    auto hours = std::get<QuietHours>(parseValue(ValueType::QuietHours, "05:30-09:30, 23:00-01:00 +05:30").value());
    auto at = [&](int hour, int minute) { return hours.contains(std::chrono::system_clock::time_point(std::chrono::hours(24 * 20000 + hour) + std::chrono::minutes(minute))); };
    CHECK(at(0, 0));
    CHECK(at(3, 59));
    CHECK_FALSE(at(4, 0));
    CHECK(at(17, 30));
    CHECK(at(19, 29));
    CHECK_FALSE(at(19, 30));
}
