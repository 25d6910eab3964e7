#pragma once

#include <boost/system/result.hpp>

#include <stdexcept>
#include <string>

namespace swiftloft {

/// What kind of failure an `Error` reports. Values are stable: scripts and metrics refer to them.
enum class ErrorCode {
    InvalidArgument = 1,
    NotFound = 2,
    AlreadyExists = 3,
    OutOfRange = 4,
    MalformedInput = 5,
    Stale = 6,
    Refused = 7,
    Unavailable = 8,
    TimedOut = 9,
    Internal = 10,
};

/// Short stable name of `code`, such as "stale".
const char* toString(ErrorCode code);

/// A failure with its kind and a text that says where it is and what would mend it.
struct Error {
    ErrorCode code { ErrorCode::Internal };
    std::string message;

    friend bool operator==(const Error&, const Error&) = default;
};

/// Thrown where a caller takes the value out of a failed `Result`, and by code that has no result to return.
class Exception : public std::runtime_error {
public:
    explicit Exception(Error error);

    const Error& error() const { return m_error; }

private:
    Error m_error;
};

/// Called by `Result::value()` when there is no value.
[[noreturn]] void throw_exception_from_error(const Error& error, const boost::source_location& where); // NOLINT(readability-identifier-naming): found by Boost under this name

/// A value or an `Error`. Static factories return it; `value()` throws `Exception` when there is none.
template <typename T>
using Result = boost::system::result<T, Error>;

} // namespace swiftloft
