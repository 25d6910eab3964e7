#include <swiftloft/expertmap/copy-choice.h>

#include <cmath>

namespace swiftloft::expertmap {

namespace {

/// The expected loss from a stage on, until demand shifts, when every further change is chosen well.
struct StageLoss {
    double seconds { 0 };
    std::optional<std::size_t> next;
};

/// Returns the expected time until demand shifts, counted up to `limit` at most.
double expectedWithin(double limit, double life)
{
    return life * (1 - std::exp(-limit / life));
}

} // namespace

std::optional<CopyChoice> chooseCopies(const std::vector<CopyStage>& stages, const CopyCosts& costs, ForecastTime remainingLife)
{
    double life = remainingLife.count();
    double now = stages.front().passTime.count();
    if (life <= 0 || now <= 0)
        return std::nullopt;
    std::vector<StageLoss> losses(stages.size());
    for (std::size_t from = stages.size(); from-- > 0;) {
        double rate = stages[from].passTime.count() / now;
        auto& best = losses[from];
        best.seconds = rate * life;
        for (std::size_t to = from + 1; to < stages.size(); ++to) {
            double copyTime = static_cast<double>(stages[to].copies - stages[from].copies) * costs.timePerExpert.count();
            double changeTime = copyTime + costs.switchDelay.count();
            double lossBefore = rate * (expectedWithin(changeTime, life) + costs.slowdown * expectedWithin(copyTime, life));
            double price = (stages[to].gigabytes - stages[from].gigabytes) * costs.pricePerGigabyte.count();
            double loss = lossBefore + price + std::exp(-changeTime / life) * losses[to].seconds;
            if (loss < best.seconds)
                best = { loss, to };
        }
    }
    if (!losses.front().next)
        return std::nullopt;
    CopyChoice choice { *losses.front().next, *losses.front().next, ForecastTime(life - losses.front().seconds) };
    while (losses[choice.lastStage].next)
        choice.lastStage = *losses[choice.lastStage].next;
    return choice;
}

} // namespace swiftloft::expertmap
