#pragma once

#include "src/gateway/news.h"
#include "src/process/metrics.h"

#include <string>

namespace swiftloft::gateway {

/// Counts datagrams and their bytes by kind and direction, so that an operator sees what control takes of a link. `prefix`
/// begins the names, as in "swiftloft_entry".
template <typename Metrics>
NewsSocket::OnMoved countInto(Metrics& metrics, const std::string& prefix)
{
    return [&metrics, messages = prefix + "_news_messages_total", bytes = prefix + "_news_bytes_total"](NewsKind kind, NewsSocket::Direction direction, std::size_t size) {
        auto way = direction == NewsSocket::Direction::Sent ? "sent" : "received";
        process::Labels labels { { "kind", std::string(toString(kind)) }, { "direction", way } };
        metrics.count(messages, labels);
        metrics.count(bytes, labels, static_cast<double>(size));
    };
}

} // namespace swiftloft::gateway
