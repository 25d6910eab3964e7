#include <swiftloft/settings/diff.h>
#include <swiftloft/settings/revision-holder.h>
#include <swiftloft/settings/tree.h>

#include "src/burn/windows.h"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <vector>

/// Prints what the settings cost at several sizes: parsing, memory, lookups, the diff of a small edit, burn windows.
namespace swiftloft {

namespace {

using settings::Tree;

constexpr int repeats = 5;
constexpr int lookups = 20000;

struct Size {
    int services;
    int groups;
    int organisations;
    /// Sections [organisation X at service Y].
    int exceptions;
};

std::string treeText(const Size& size)
{
    std::string text = "[defaults]\nrequires-key = no\n";
    for (int it = 0; it < 9; ++it)
        text += fmt::format("[data-centre d{}]\nregion = r{}\n", it, it / 3);
    for (int it = 0; it < size.services; ++it)
        text += fmt::format("[service s{}]\nkind = model\nranks = 64\nexperts = 64\nlayers = 58\nrequest-deadline = {}s\nskew-weight = 4\n", it, 30 + it % 30);
    for (int it = 0; it < size.groups; ++it)
        text += fmt::format("[group g{}]\nparent = service s{}\ndata-centre = d{}\nmove-bytes-per-minute = {}GiB\n", it, it % size.services, it % 9, 1 + it % 60);
    text += "[organisation large]\ntemplate = yes\nweight = 4\n";
    for (int it = 0; it < size.organisations; ++it)
        text += fmt::format("[organisation o{}]\nparent = organisation large\nrequests-per-second = {}/s\ntokens-per-second = 9000/s\n", it, 10 + it % 90);
    for (int it = 0; it < size.exceptions; ++it)
        text += fmt::format("[organisation o{} at service s{}]\nmax-in-flight = {}\n", it % size.organisations, (it / size.organisations) % size.services, 1 + it % 200);
    return text;
}

double millisecondsOf(const std::function<void()>& work)
{
    std::vector<double> times;
    for (int it = 0; it < repeats; ++it) {
        auto start = Clock::now();
        work();
        times.push_back(std::chrono::duration<double, std::milli>(Clock::now() - start).count());
    }
    std::nth_element(times.begin(), times.begin() + repeats / 2, times.end());
    return times[repeats / 2];
}

std::size_t heapInUse()
{
    auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double lookupMicroseconds(const Tree& tree)
{
    auto organisations = tree.organisations();
    auto services = tree.services();
    double sum = 0;
    auto time = millisecondsOf([&] {
        for (int it = 0; it < lookups; ++it)
            sum += tree.organisation(organisations[static_cast<std::size_t>(it) % organisations.size()], services[static_cast<std::size_t>(it) % services.size()]).value().weight.value();
    });
    return sum > 0 ? time * 1000 / lookups : 0;
}

void measure(const Size& size)
{
    auto text = treeText(size);
    auto before = heapInUse();
    auto tree = Tree::parse(text).result().value();
    auto bytes = heapInUse() - before;
    auto parse = millisecondsOf([&] { Tree::parse(text); });
    auto edited = text;
    edited.replace(edited.find("request-deadline = 30s"), 22, "request-deadline = 31s");
    auto other = Tree::parse(edited).result().value();
    std::size_t touched = 0;
    auto diff = millisecondsOf([&] { touched = settings::diff(tree, other).size(); });
    auto nodes = static_cast<double>(tree.nodeCount());
    fmt::print("{:>8} {:>8} {:>9} {:>9.2f} {:>9.2f} {:>9.0f} {:>9.0f} {:>9.2f} {:>9.2f} {:>7}\n", size.organisations, tree.nodeCount(), text.size(),
        parse, parse * 1000 / nodes, static_cast<double>(bytes) / 1024, static_cast<double>(bytes) / nodes, lookupMicroseconds(tree), diff, touched);
}

void measureBurn(std::uint32_t organisations, std::uint32_t services)
{
    // An entry's share of 25,000 requests a second over 670 entries, for three days, so that every bucket is in use. All
    // pairs are equally busy, which costs the most memory.
    constexpr std::uint32_t requestsPerSecond = 37;
    constexpr std::uint32_t requests = 259200 * requestsPerSecond;
    auto before = heapInUse();
    TimePoint now(std::chrono::hours(1));
    burn::BurnWindows windows(now);
    std::vector<OrganisationName> names;
    for (std::uint32_t it = 0; it < organisations; ++it)
        names.emplace_back(fmt::format("o{}", it));
    std::vector<ServiceName> serviceNames;
    for (std::uint32_t it = 0; it < services; ++it)
        serviceNames.emplace_back(fmt::format("s{}", it));
    auto start = Clock::now();
    for (std::uint32_t it = 0; it < requests; ++it) {
        now += std::chrono::microseconds(1000000 / requestsPerSecond);
        windows.add(now, serviceNames[it / organisations % services], names[it % organisations], it % 100 ? burn::Outcome::Good : burn::Outcome::Bad, "slow");
    }
    auto time = std::chrono::duration<double, std::nano>(Clock::now() - start).count() / requests;
    auto bytes = heapInUse() - before;
    auto sizeOf = [&](const burn::Scope& scope) { return burn::toJson(windows.report(now, InstanceId("e1"), "", scope)).size(); };
    auto reportTime = millisecondsOf([&] { windows.report(now, InstanceId("e1"), ""); });
    auto jsonTime = millisecondsOf([&] { sizeOf({}); });
    fmt::print("{:>8} {:>9} {:>12.0f} {:>9.0f} {:>10} {:>10} {:>10} {:>10.1f} {:>10.1f}\n", organisations, organisations * services, time, static_cast<double>(bytes) / 1024,
        sizeOf({}), sizeOf({ serviceNames[0], true }), sizeOf({ std::nullopt, false }), reportTime, jsonTime);
}

} // namespace

} // namespace swiftloft

int main()
{
    using namespace swiftloft;
    fmt::print("Settings tree, median of {}\n", repeats);
    fmt::print("{:>8} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7}\n", "organis.", "nodes", "bytes", "parse ms", "us/node", "heap KiB", "B/node", "lookup us", "diff ms", "touched");
    measure({ 2, 3, 10, 2 });
    measure({ 11, 86, 300, 100 });
    measure({ 11, 86, 1800, 600 });
    measure({ 11, 86, 1800, 12090 });
    fmt::print("\nBurn windows of one entry, 37 requests a second for three days\n");
    fmt::print("{:>8} {:>9} {:>12} {:>9} {:>10} {:>10} {:>10} {:>10} {:>10}\n", "organis.", "pairs", "ns/request", "heap KiB", "JSON bytes", "1 service", "totals", "report ms", "+ JSON ms");
    measureBurn(10, 2);
    measureBurn(300, 11);
    measureBurn(1800, 11);
}
