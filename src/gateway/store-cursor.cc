#include "src/gateway/store-cursor.h"

#include <algorithm>

namespace swiftloft::gateway {

void StoreCursor::setEra(PublishedItems& items) const
{
    if (items.era != StoreEra())
        return;
    items.era = m_era;
    for (auto& item : items.items)
        item.era = m_era;
}

StoreCursor::Answer StoreCursor::onListed(PublishedItems& items)
{
    setEra(items);
    if (items.era < m_era)
        return Answer::Outdated;
    m_era = items.era;
    m_knownTo = items.asOf;
    return Answer::Take;
}

StoreCursor::Answer StoreCursor::onChanged(PublishedItems& items)
{
    setEra(items);
    if (items.era < m_era)
        return Answer::Outdated;
    if (items.era > m_era) {
        m_era = items.era;
        m_knownTo.reset();
        return Answer::ListAgain;
    }
    m_knownTo = std::max(m_knownTo.value_or(0), items.asOf);
    return Answer::Take;
}

} // namespace swiftloft::gateway
