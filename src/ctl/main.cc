#include "src/ctl/command.h"

#include <fmt/core.h>

#include <cstdio>
#include <exception>
#include <unistd.h>

int main(int argc, char** argv)
{
    using namespace swiftloft::ctl;
    Console console {
        [](std::string_view text) { fmt::print("{}", text); },
        [](std::string_view text) { fmt::print(stderr, "{}", text); },
        isatty(STDOUT_FILENO) != 0,
    };
    try {
        return static_cast<int>(run(Arguments(argv + 1, argv + argc), console));
    } catch (const std::exception& exception) {
        fmt::print(stderr, "swiftloft-ctl: {}\n", exception.what());
        return static_cast<int>(ExitCode::Usage);
    }
}
