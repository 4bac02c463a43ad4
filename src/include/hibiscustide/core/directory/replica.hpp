/// \file
/// A node's copy of the published items, which together form the directory. It
/// is updated by reads from the publishing service and by changes that peers
/// send.
#ifndef HIBISCUSTIDE_CORE_DIRECTORY_REPLICA_HPP
#define HIBISCUSTIDE_CORE_DIRECTORY_REPLICA_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hibiscustide::core::directory
{

/// A state of all published items. When the publishing service is restored from
/// an older copy, it goes to the next era, and its revisions go back and are
/// assigned again. So revisions are comparable within one era only.
struct published_state
{
    std::uint64_t m_era = 0;
    std::uint64_t m_revision = 0;

    friend auto operator<=>(published_state const&, published_state const&) =
        default;
};

/// One published item: a key and its value in the platform's key-value store,
/// and the store's revision when it was last changed. The tombstone of a
/// removed item keeps its key and the revision of its removal.
struct item
{
    std::string m_key;
    std::string m_value;
    std::uint64_t m_revision = 0;
    bool m_removed = false;

    friend auto operator<=>(item const&, item const&) = default;
};

/// The items that changed after revision `m_after` up to revision
/// `m_revision` of one era. If `m_complete` is set, `m_items` holds every
/// existing item instead, and an item that is not listed was removed.
struct item_changes
{
    std::uint64_t m_era = 0;
    std::uint64_t m_after = 0;
    std::uint64_t m_revision = 0;
    bool m_complete = false;
    std::vector<item> m_items;

    friend auto operator<=>(item_changes const&, item_changes const&) = default;
};

/// Items by key, complete up to one state, which never decreases. All items are
/// of the same era: a newer era begins with a complete list, which replaces all
/// items. Not thread-safe.
class replica
{
public:
    /// Maximum number of tombstones that are kept; when it is exceeded, all of
    /// them are dropped. A peer whose revision is older than the kept history
    /// gets all items.
    static constexpr std::size_t max_tombstones = 1'024;

    /// Applies the changes. Returns the items that were new or newer than the
    /// known ones and the removals of known items, or nothing if the changes
    /// cannot be applied. For the first list of an era, returns the items that
    /// differ from those of the era before, and the missing ones as removals.
    std::vector<item> apply(item_changes const& changes);

    /// Whether the changes connect to the current state without a gap and are
    /// not older than it.
    [[nodiscard]] bool can_apply(item_changes const& changes) const noexcept;

    /// Returns the changes that a peer in this state lacks.
    [[nodiscard]] item_changes changes_after(
        published_state const& known) const;

    /// The state up to which all changes are known.
    [[nodiscard]] published_state state() const noexcept;

private:
    std::vector<item> begin_era(item_changes const& changes);
    void drop_tombstones();

    std::map<std::string, item> m_items; ///< Tombstones included.
    std::size_t m_tombstone_count = 0;
    published_state m_state;
    std::uint64_t m_history_start = 0; ///< Older removals are unknown.
};

} // namespace hibiscustide::core::directory

#endif
