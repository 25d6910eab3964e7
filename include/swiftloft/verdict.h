#pragma once

#include <optional>
#include <string_view>

namespace swiftloft {

/// Whether a *request* (not one attempt at it) may have run on a backend server.
///
/// `NotRun` is a promise: no attempt, also a late copy still in some socket's buffer, has run or will run. It may only
/// be given where that is provable; in doubt the verdict is `MayHaveRun`.
enum class Verdict {
    NotRun,
    MayHaveRun,
    Ran,
};

/// The form used in the `Swiftloft-Verdict` header: "not-run", "may-have-run" or "ran".
std::string_view toString(Verdict verdict);
std::optional<Verdict> verdictFromString(std::string_view text);

/// The verdict of a request from the verdicts of two of its attempts. One attempt that ran decides; otherwise one that
/// may have run does.
Verdict combine(Verdict a, Verdict b);

/// True when another attempt cannot break a promise: nothing has run, or running twice does no harm.
bool mayRetry(Verdict verdict, bool isRepeatable);

} // namespace swiftloft
