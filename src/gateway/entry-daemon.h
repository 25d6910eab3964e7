#pragma once

#include "src/gateway/protocol.h"
#include "src/gateway/settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace swiftloft::gateway {

/// Creates the client of the platform's store. Its calls run on the control thread's context.
using StoreFactory = std::function<Store(boost::asio::io_context& ioContext)>;

/// Runs an entry until it is stopped and its requests have ended. Throws `Exception` or `boost::system::system_error`
/// if an address can't be bound.
void runEntry(const EntrySettings& settings, const Protocol& protocol, const StoreFactory& makeStore, Incarnation incarnation);

} // namespace swiftloft::gateway
