#pragma once

#include <functional>
#include <string_view>

namespace swiftloft::ctl {

/// What `swiftloft-ctl` exits with; scripts rely on the numbers.
enum class ExitCode {
    Ok = 0,
    /// The command worked and found something wrong: an invalid tree, a difference, a burnt budget.
    Finding = 1,
    /// The command line is wrong, or a file can't be read.
    Usage = 2,
    /// No instance that was asked has answered.
    Unreachable = 3,
};

/// Where a command writes, so that tests can look.
struct Console {
    std::function<void(std::string_view text)> out;
    std::function<void(std::string_view text)> err;
    /// Colour may be used on `out`.
    bool hasColour { false };
};

} // namespace swiftloft::ctl
