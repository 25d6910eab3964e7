#include "src/gateway/store-cursor.h"

#include <algorithm>

namespace swiftloft::gateway {

void StoreCursor::fillInEra(PublishedItems& items) const
{
    if (items.era == StoreEra())
        items.setEra(m_era);
}

StoreCursor::Action StoreCursor::onListed(PublishedItems& items)
{
    fillInEra(items);
    if (items.era < m_era)
        return Action::RejectStale;
    m_era = items.era;
    m_knownRevision = items.asOf;
    return Action::Apply;
}

StoreCursor::Action StoreCursor::onChanged(PublishedItems& items)
{
    fillInEra(items);
    if (items.era < m_era)
        return Action::RejectStale;
    if (items.era > m_era) {
        m_era = items.era;
        m_knownRevision.reset();
        return Action::Relist;
    }
    m_knownRevision = std::max(m_knownRevision.value_or(0), items.asOf);
    return Action::Apply;
}

} // namespace swiftloft::gateway
