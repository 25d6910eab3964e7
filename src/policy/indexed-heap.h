#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

namespace swiftloft::policy::internal {

/// Binary min-heap over small integer ids whose keys can be changed and removed in O(log n).
template <typename Key>
class IndexedHeap {
public:
    bool empty() const { return m_nodes.empty(); }
    std::size_t size() const { return m_nodes.size(); }
    std::uint32_t topId() const { return m_nodes.front().id; }
    const Key& topKey() const { return m_nodes.front().key; }
    bool contains(std::uint32_t id) const { return id < m_positions.size() && m_positions[id] != absent; }

    /// Inserts `id` or changes its key.
    void set(std::uint32_t id, Key key)
    {
        if (id >= m_positions.size())
            m_positions.resize(id + 1, absent);
        if (m_positions[id] == absent) {
            m_positions[id] = m_nodes.size();
            m_nodes.push_back({ std::move(key), id });
        } else
            m_nodes[m_positions[id]].key = std::move(key);
        restore(m_positions[id]);
    }

    void remove(std::uint32_t id)
    {
        if (!contains(id))
            return;
        auto position = m_positions[id];
        place(position, m_nodes.back());
        m_nodes.pop_back();
        m_positions[id] = absent;
        if (position < m_nodes.size())
            restore(position);
    }

private:
    static constexpr std::size_t absent = std::numeric_limits<std::size_t>::max();

    struct Node {
        Key key;
        std::uint32_t id;
    };

    void place(std::size_t position, Node node)
    {
        m_positions[node.id] = position;
        m_nodes[position] = std::move(node);
    }

    void swapNodes(std::size_t a, std::size_t b)
    {
        std::swap(m_nodes[a], m_nodes[b]);
        m_positions[m_nodes[a].id] = a;
        m_positions[m_nodes[b].id] = b;
    }

    void restore(std::size_t position)
    {
        while (position > 0 && m_nodes[position].key < m_nodes[(position - 1) / 2].key) {
            swapNodes(position, (position - 1) / 2);
            position = (position - 1) / 2;
        }
        for (;;) {
            auto least = position;
            for (auto child : { 2 * position + 1, 2 * position + 2 }) {
                if (child < m_nodes.size() && m_nodes[child].key < m_nodes[least].key)
                    least = child;
            }
            if (least == position)
                return;
            swapNodes(position, least);
            position = least;
        }
    }

    std::vector<Node> m_nodes;
    std::vector<std::size_t> m_positions;
};

} // namespace swiftloft::policy::internal
