#pragma once

#include <swiftloft/settings/node-id.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace swiftloft::settings {

/// What is wrong at one place of a tree. Numbers are stable: scripts and metrics refer to them.
enum class ProblemCode : std::uint8_t {
    BadLine = 1,
    LineTooLong = 2,
    BadSection = 3,
    DuplicateSection = 4,
    KeyOutsideSection = 5,
    UnknownKey = 6,
    KeyNotForSection = 7,
    DuplicateKey = 8,
    BadValue = 9,
    OutOfRange = 10,
    MissingParent = 11,
    BadParent = 12,
    Cycle = 13,
    UnknownReference = 14,
    MissingKey = 15,
    Contradiction = 16,
    TooManyProblems = 17,
};

/// Short stable name of `code`, such as "unknown-key".
std::string_view toString(ProblemCode code);

/// One fault of a settings tree: where it is, what was found and what would mend it.
struct Problem {
    ProblemCode code { ProblemCode::BadLine };
    std::string file;
    /// Counted from 1.
    std::uint32_t line { 0 };
    /// Heading of the section; empty outside any.
    std::string node;
    /// Empty when the fault isn't one of a key.
    std::string key;
    std::string found;
    std::string expected;

    /// "FILE:LINE: [NODE] KEY: found "...", expected ..."
    std::string toString() const;

    friend bool operator==(const Problem&, const Problem&) = default;
};

} // namespace swiftloft::settings
