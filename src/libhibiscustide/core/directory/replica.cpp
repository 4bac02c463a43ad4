#include <hibiscustide/core/directory/replica.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace hibiscustide::core::directory
{

std::vector<item> replica::apply(item_changes const& changes)
{
    std::vector<item> applied;
    if (!can_apply(changes))
    {
        return applied;
    }
    if (changes.m_era > m_state.m_era)
    {
        return begin_era(changes);
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
        if (m_state.m_revision == 0)
        {
            m_history_start = changes.m_revision;
        }
    }
    m_state.m_revision = std::max(m_state.m_revision, changes.m_revision);
    drop_tombstones();
    return applied;
}

// Replaces all items. The revisions of two eras cannot be compared, so the
// values are.
std::vector<item> replica::begin_era(item_changes const& changes)
{
    std::vector<item> applied;
    std::map<std::string, item> items;
    for (auto const& listed : changes.m_items)
    {
        if (listed.m_removed)
        {
            continue;
        }
        auto const known = m_items.find(listed.m_key);
        bool const is_same = known != m_items.end() &&
                             !known->second.m_removed &&
                             known->second.m_value == listed.m_value;
        if (!is_same)
        {
            applied.push_back(listed);
        }
        items.insert_or_assign(listed.m_key, listed);
    }
    for (auto const& [key, known] : m_items)
    {
        if (!known.m_removed && !items.contains(key))
        {
            applied.push_back(
                {.m_key = key,
                 .m_revision = changes.m_revision,
                 .m_removed = true});
        }
    }
    m_items = std::move(items);
    m_tombstone_count = 0;
    m_state = {.m_era = changes.m_era, .m_revision = changes.m_revision};
    m_history_start = changes.m_revision;
    return applied;
}

bool replica::can_apply(item_changes const& changes) const noexcept
{
    if (changes.m_era > m_state.m_era)
    {
        return changes.m_complete;
    }
    bool const is_older = changes.m_era < m_state.m_era ||
                          changes.m_revision < m_state.m_revision;
    return !is_older &&
           (changes.m_complete || changes.m_after <= m_state.m_revision);
}

// A peer in a newer era gets no items, which it would reject.
item_changes replica::changes_after(published_state const& known) const
{
    item_changes changes{
        .m_era = m_state.m_era,
        .m_after = known.m_revision,
        .m_revision = m_state.m_revision,
        .m_complete = known.m_era < m_state.m_era ||
                      (known.m_era == m_state.m_era &&
                       known.m_revision < m_history_start)};
    if (known.m_era > m_state.m_era)
    {
        return changes;
    }
    for (auto const& [key, entry] : m_items)
    {
        bool const is_wanted = changes.m_complete
                                   ? !entry.m_removed
                                   : entry.m_revision > known.m_revision;
        if (is_wanted)
        {
            changes.m_items.push_back(entry);
        }
    }
    return changes;
}

published_state replica::state() const noexcept
{
    return m_state;
}

void replica::drop_tombstones()
{
    if (m_tombstone_count <= max_tombstones)
    {
        return;
    }
    m_history_start = m_state.m_revision;
    std::erase_if(
        m_items,
        [](auto const& entry)
        {
            return entry.second.m_removed;
        });
    m_tombstone_count = 0;
}

} // namespace hibiscustide::core::directory
