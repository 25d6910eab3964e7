#include "test/process/fleet.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <thread>

#include <unistd.h>

/// What an idle entry and an idle agent cost for each link between them (heartbeats both ways, membership, timers): share
/// of a core and resident memory at several numbers of agents, and the slope between the smallest and the largest.

using namespace swiftloft;
using namespace swiftloft::process_test;

namespace {

constexpr seconds settleTime { 3 };
constexpr seconds measureTime { 10 };

/// Processor time used so far, in seconds.
double processorTime(pid_t pid)
{
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    constexpr int fieldsBeforeTimes = 11;
    for (int n = 0; n < fieldsBeforeTimes; ++n)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMegabytes(pid_t pid)
{
    std::ifstream file(fmt::format("/proc/{}/statm", pid));
    double all = 0;
    double resident = 0;
    file >> all >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

struct Cost {
    double entryCore { 0 };
    double entryMegabytes { 0 };
    double agentCore { 0 };
    double agentMegabytes { 0 };
};

Cost measure(std::size_t agents)
{
    Fleet fleet({ .entries = 1, .engines = 0, .plainServers = agents });
    if (!fleet.waitUntilReady())
        throw std::runtime_error("the fleet did not start");
    std::this_thread::sleep_for(settleTime);
    auto entry = fleet.entry().process->pid();
    auto agent = fleet.plain(0).agent->pid();
    auto entryBefore = processorTime(entry);
    auto agentBefore = processorTime(agent);
    std::this_thread::sleep_for(measureTime);
    auto length = std::chrono::duration<double>(measureTime).count();
    return { (processorTime(entry) - entryBefore) / length, residentMegabytes(entry), (processorTime(agent) - agentBefore) / length, residentMegabytes(agent) };
}

} // namespace

int main()
{
    constexpr std::size_t sizes[] = { 5, 25, 60 };
    Cost costs[std::size(sizes)];
    for (std::size_t n = 0; n < std::size(sizes); ++n) {
        costs[n] = measure(sizes[n]);
        fmt::print("{:>3} agents: entry {:.2f}% of a core, {:.1f} MB; agent {:.2f}% of a core, {:.1f} MB\n", sizes[n], 100 * costs[n].entryCore, costs[n].entryMegabytes,
            100 * costs[n].agentCore, costs[n].agentMegabytes);
    }
    auto& first = costs[0];
    auto& last = costs[std::size(sizes) - 1];
    auto more = static_cast<double>(sizes[std::size(sizes) - 1] - sizes[0]);
    fmt::print("each agent more: entry {:.3f}% of a core, {:.3f} MB\n", 100 * (last.entryCore - first.entryCore) / more, (last.entryMegabytes - first.entryMegabytes) / more);
    return 0;
}
