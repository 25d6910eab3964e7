#pragma once

#include <boost/random/mersenne_twister.hpp>

namespace swiftloft::policy {

/// Source of randomness that the caller owns and passes in, so that a decision with the same seed is the same.
using Generator = boost::random::mt19937;

} // namespace swiftloft::policy
