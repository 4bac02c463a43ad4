#include <hibiscustide/core/directory/replica.hpp>

#include <algorithm>
#include <set>

namespace hibiscustide::core::directory
{

std::vector<item> replica::apply(item_changes const& changes)
{
    std::vector<item> applied;
    if (!can_apply(changes))
    {
        return applied;
    }
    auto const apply_item = [&](item const& change)
    {
        auto& known = m_items[change.m_key];
        bool const is_newer = known.m_revision < change.m_revision;
        if (!is_newer)
        {
            return;
        }
        bool const was_there = known.m_revision > 0 && !known.m_removed;
        bool const was_removed = known.m_revision > 0 && known.m_removed;
        known = change;
        m_tombstone_count += change.m_removed ? 1 : 0;
        m_tombstone_count -= was_removed ? 1 : 0;
        if (!change.m_removed || was_there)
        {
            applied.push_back(change);
        }
    };
    for (auto const& change : changes.m_items)
    {
        apply_item(change);
    }
    if (changes.m_complete)
    {
        std::set<std::string> listed;
        for (auto const& change : changes.m_items)
        {
            listed.insert(change.m_key);
        }
        for (auto const& [key, known] : m_items)
        {
            bool const is_gone = !known.m_removed && !listed.contains(key) &&
                                 known.m_revision <= changes.m_revision;
            if (is_gone)
            {
                apply_item(
                    {.m_key = key,
                     .m_revision = changes.m_revision,
                     .m_removed = true});
            }
        }
        // A complete list does not say which items were removed before it.
        m_history_start = std::max(m_history_start, changes.m_revision);
        if (m_revision == 0)
        {
            m_history_start = changes.m_revision;
        }
    }
    m_revision = std::max(m_revision, changes.m_revision);
    drop_tombstones();
    return applied;
}

bool replica::can_apply(item_changes const& changes) const noexcept
{
    if (changes.m_revision < m_revision)
    {
        return false;
    }
    return changes.m_complete || changes.m_after <= m_revision;
}

item_changes replica::changes_after(std::uint64_t revision) const
{
    item_changes changes{
        .m_after = revision,
        .m_revision = m_revision,
        .m_complete = revision < m_history_start};
    for (auto const& [key, known] : m_items)
    {
        bool const is_wanted =
            changes.m_complete ? !known.m_removed : known.m_revision > revision;
        if (is_wanted)
        {
            changes.m_items.push_back(known);
        }
    }
    return changes;
}

std::uint64_t replica::revision() const noexcept
{
    return m_revision;
}

void replica::drop_tombstones()
{
    if (m_tombstone_count <= max_tombstones)
    {
        return;
    }
    m_history_start = m_revision;
    std::erase_if(
        m_items,
        [](auto const& entry)
        {
            return entry.second.m_removed;
        });
    m_tombstone_count = 0;
}

} // namespace hibiscustide::core::directory
