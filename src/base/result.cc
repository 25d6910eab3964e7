#include <swiftloft/result.h>

namespace swiftloft {

const char* toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid-argument";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::AlreadyExists:
        return "already-exists";
    case ErrorCode::OutOfRange:
        return "out-of-range";
    case ErrorCode::MalformedInput:
        return "malformed-input";
    case ErrorCode::Stale:
        return "stale";
    case ErrorCode::Refused:
        return "refused";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::TimedOut:
        return "timed-out";
    case ErrorCode::Internal:
        return "internal";
    }
    return "unknown";
}

Exception::Exception(Error error)
    : std::runtime_error(error.message)
    , m_error(std::move(error))
{
}

void throw_exception_from_error(const Error& error, const boost::source_location&) // NOLINT(readability-identifier-naming): found by Boost under this name
{
    throw Exception(error);
}

} // namespace swiftloft
