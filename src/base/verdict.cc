#include <swiftloft/verdict.h>

#include <algorithm>

namespace swiftloft {

std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

std::optional<Verdict> verdictFromString(std::string_view text)
{
    for (auto verdict : { Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran }) {
        if (text == toString(verdict))
            return verdict;
    }
    return std::nullopt;
}

Verdict combine(Verdict a, Verdict b)
{
    return std::max(a, b);
}

bool mayRetry(Verdict verdict, bool isRepeatable)
{
    return verdict == Verdict::NotRun || isRepeatable;
}

} // namespace swiftloft
