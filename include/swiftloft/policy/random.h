#pragma once

#include <boost/random/mersenne_twister.hpp>

namespace swiftloft::policy {

/// Random number generator, owned and passed in by the caller, so that decisions are reproducible from the seed.
using Generator = boost::random::mt19937;

} // namespace swiftloft::policy
