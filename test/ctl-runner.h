#pragma once

#include "src/ctl/command.h"

#include <string>

namespace swiftloft::ctl {

/// What a command exited with and wrote.
struct Ran {
    ExitCode code;
    std::string out;
    std::string err;
};

inline Ran ran(const Arguments& arguments)
{
    Ran result { ExitCode::Ok, {}, {} };
    Console console { [&](auto text) { result.out += text; }, [&](auto text) { result.err += text; }, false };
    result.code = run(arguments, console);
    return result;
}

} // namespace swiftloft::ctl
