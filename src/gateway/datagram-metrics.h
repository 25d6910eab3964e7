#pragma once

#include "src/gateway/control-message.h"
#include "src/process/metrics.h"

#include <string>

namespace swiftloft::gateway {

/// Returns a function that counts datagrams and their bytes by kind and direction, so that an operator sees how much of
/// a link the control traffic takes. `prefix` begins the metric names, as in "swiftloft_entry".
template <typename Metrics>
ControlSocket::OnDatagram datagramCounter(Metrics& metrics, const std::string& prefix)
{
    return [&metrics, messages = prefix + "_news_messages_total", bytes = prefix + "_news_bytes_total"](ControlMessageKind kind, ControlSocket::Direction direction, std::size_t size) {
        auto directionLabel = direction == ControlSocket::Direction::Sent ? "sent" : "received";
        process::Labels labels { { "kind", std::string(toString(kind)) }, { "direction", directionLabel } };
        metrics.count(messages, labels);
        metrics.count(bytes, labels, static_cast<double>(size));
    };
}

} // namespace swiftloft::gateway
