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
/// `m_revision`. If `m_complete` is set, `m_items` holds every existing item
/// instead, and an item that is not listed was removed.
struct item_changes
{
    std::uint64_t m_after = 0;
    std::uint64_t m_revision = 0;
    bool m_complete = false;
    std::vector<item> m_items;

    friend auto operator<=>(item_changes const&, item_changes const&) = default;
};

/// Items by key, complete up to one revision. The revision never decreases. Not
/// thread-safe.
class replica
{
public:
    /// Maximum number of tombstones that are kept; when it is exceeded, all of
    /// them are dropped. A peer whose revision is older than the kept history
    /// gets all items.
    static constexpr std::size_t max_tombstones = 1'024;

    /// Applies the changes. Returns the items that were new or newer than the
    /// known ones and the removals of known items, or nothing if the changes
    /// cannot be applied.
    std::vector<item> apply(item_changes const& changes);

    /// Whether the changes connect to the current revision without a gap and
    /// are not older than it.
    [[nodiscard]] bool can_apply(item_changes const& changes) const noexcept;

    /// Returns the changes that a peer at this revision lacks.
    [[nodiscard]] item_changes changes_after(std::uint64_t revision) const;

    /// The revision up to which all changes are known.
    [[nodiscard]] std::uint64_t revision() const noexcept;

private:
    void drop_tombstones();

    std::map<std::string, item> m_items; ///< Tombstones included.
    std::size_t m_tombstone_count = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_history_start = 0; ///< Older removals are unknown.
};

} // namespace hibiscustide::core::directory

#endif
