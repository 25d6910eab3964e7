#include "test/process/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>
#include <vector>

/// Time from the kill -9 of one process of a small real fleet until requests are answered again, as callers see it who
/// send one request after the other and ask another entry when theirs does not answer. Prints the longest stretch
/// without a good answer and how many requests were refused or cut.

using namespace swiftloft;
using namespace swiftloft::process_test;

namespace {

constexpr std::size_t callers = 6;
constexpr seconds before { 1 };
constexpr seconds after { 6 };
constexpr std::size_t rounds = 3;

struct Outcome {
    milliseconds longestGap { 0 };
    std::size_t sent { 0 };
    std::size_t failed { 0 };
};

bool isGood(const replay::ExchangeResult& answer)
{
    return answer.end == replay::ExchangeEnd::Whole && answer.head.result_int() == 200;
}

Outcome callUntil(Fleet& fleet, std::size_t caller, TimePoint end)
{
    Outcome outcome;
    auto entry = caller % fleet.entryCount();
    auto lastGood = Clock::now();
    for (std::size_t n = 0; Clock::now() < end; ++n) {
        auto request = completion(fleet.entry(entry), fmt::format("caller {} draft {}", caller, n), 5);
        request.allowed = milliseconds(3000);
        ++outcome.sent;
        if (!isGood(call(request))) {
            ++outcome.failed;
            entry = (entry + 1) % fleet.entryCount();
            continue;
        }
        auto now = Clock::now();
        outcome.longestGap = std::max(outcome.longestGap, std::chrono::duration_cast<milliseconds>(now - lastGood));
        lastGood = now;
    }
    return outcome;
}

Outcome measure(const std::function<void(Fleet&)>& kill)
{
    Fleet fleet({ .entries = 3, .engines = 4 });
    if (!fleet.waitUntilReady())
        throw std::runtime_error("the fleet did not start");
    auto end = Clock::now() + before + after;
    std::vector<Outcome> outcomes(callers);
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < callers; ++n)
        threads.emplace_back([&, n] { outcomes[n] = callUntil(fleet, n, end); });
    std::this_thread::sleep_for(before);
    kill(fleet);
    for (auto& thread : threads)
        thread.join();
    Outcome all;
    for (auto& it : outcomes) {
        all.longestGap = std::max(all.longestGap, it.longestGap);
        all.sent += it.sent;
        all.failed += it.failed;
    }
    return all;
}

void report(const char* what, const std::function<void(Fleet&)>& kill)
{
    for (std::size_t n = 0; n < rounds; ++n) {
        auto outcome = measure(kill);
        fmt::print("{:<28} longest time without an answer {:>5} ms, {} of {} requests failed\n", what, outcome.longestGap.count(), outcome.failed, outcome.sent);
    }
}

} // namespace

int main()
{
    report("nothing killed", [](Fleet&) {});
    report("entry killed", [](Fleet& fleet) { fleet.entry(0).process->kill(); });
    report("agent killed", [](Fleet& fleet) { fleet.engine(0).agent->kill(); });
    report("engine killed", [](Fleet& fleet) { fleet.engine(0).backend->kill(); });
    report("agent frozen", [](Fleet& fleet) { fleet.engine(0).agent->pause(); });
    report("platform killed", [](Fleet& fleet) { fleet.platform().kill(); });
    return 0;
}
