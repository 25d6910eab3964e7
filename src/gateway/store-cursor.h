#pragma once

#include "src/gateway/protocol.h"

#include <optional>

namespace swiftloft::gateway {

/// How far one topic of the platform's store is known, and what to ask for next. Pure.
///
/// A topic is listed anew when the era rises: a watch that went on from a revision of before would miss what was written below it.
class StoreCursor {
public:
    /// What to do with an answer of the store.
    enum class Answer {
        Take,
        /// The store has come back from an older copy: leave the answer out and list the topic.
        ListAgain,
        /// It is from before a return that is known already, such as over a connection to the store of before: leave it out.
        Outdated,
    };

    /// Items that don't say their era are in that of before, and say so afterwards.
    Answer onListed(PublishedItems& items);
    Answer onChanged(PublishedItems& items);
    void reset() { m_knownTo.reset(); }

    /// Revision to watch from; unset while the topic must be listed.
    std::optional<std::uint64_t> knownTo() const { return m_knownTo; }
    StoreEra era() const { return m_era; }

private:
    void setEra(PublishedItems& items) const;

    std::optional<std::uint64_t> m_knownTo;
    StoreEra m_era;
};

} // namespace swiftloft::gateway
