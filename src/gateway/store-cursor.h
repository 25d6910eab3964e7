#pragma once

#include "src/gateway/protocol.h"

#include <optional>

namespace swiftloft::gateway {

/// Tracks up to which revision one topic of the platform's store is known, and what to request next. Pure.
///
/// A topic is listed again when the era rises: a watch continued from a revision of an earlier era would miss writes
/// below that revision.
class StoreCursor {
public:
    /// How to handle a response of the store.
    enum class Action {
        Apply,
        /// The store was restored from an older copy: ignore the response and list the topic.
        Relist,
        /// The response is from before a known restore of the store, for example from a connection to the earlier store:
        /// ignore it.
        RejectStale,
    };

    /// Items without an era belong to the current era, which is then filled in.
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
