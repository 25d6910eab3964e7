#include "src/log/problem.h"

#include <boost/system/system_error.hpp>
#include <fmt/format.h>

namespace swiftloft::log {

std::string problemOf(const std::exception& error)
{
    if (auto* system = dynamic_cast<const boost::system::system_error*>(&error))
        return fmt::format("{}: {}", system->code().category().name(), system->code().message());
    return error.what();
}

} // namespace swiftloft::log
