#pragma once

#include "src/gateway/news.h"

#include <map>
#include <optional>

namespace swiftloft::gateway {

/// The limits that backend servers name in their answers, as one entry knows them. Pure: the time comes with each call.
class ServerLimits {
public:
    /// Takes what an answer to a request sent at `sentAt` says. True when the limit is another than before.
    bool onAnswer(TimePoint now, ServerHash server, TimePoint sentAt, const std::optional<NamedLimit>& limit);
    /// Unset where the server names none.
    std::optional<RequestRate> limitOf(ServerHash server) const;
    bool isEmpty() const { return m_words.empty(); }

private:
    struct Word {
        RequestRate rate;
        /// When it was heard last.
        TimePoint heardAt;
    };

    std::map<ServerHash, Word> m_words;
};

} // namespace swiftloft::gateway
