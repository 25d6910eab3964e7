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
    enum class Action {
        Apply,
        /// The store has come back from an older copy: leave the answer out and list the topic.
        Relist,
        /// It is from before a return that is known already, such as over a connection to the store of before: leave it out.
        RejectStale,
    };

    /// Items that don't say their era are in that of before, and say so afterwards.
    Action onListed(PublishedItems& items);
    Action onChanged(PublishedItems& items);
    void reset() { m_knownRevision.reset(); }

    /// Revision to watch from; unset while the topic must be listed.
    std::optional<std::uint64_t> knownRevision() const { return m_knownRevision; }
    StoreEra era() const { return m_era; }

private:
    void fillInEra(PublishedItems& items) const;

    std::optional<std::uint64_t> m_knownRevision;
    StoreEra m_era;
};

} // namespace swiftloft::gateway
