/// \file
/// A copy of the published items, kept up to date by reads and by peers.
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

/// One item as published. An item that is gone keeps its key and the revision
/// at which it went.
struct item
{
    std::string m_key;
    std::string m_value;
    std::uint64_t m_revision = 0;
    bool m_removed = false;

    friend auto operator<=>(item const&, item const&) = default;
};

/// Everything that changed after `m_after` and up to `m_revision`. Where
/// `m_complete` it is all that exists, and what it does not name is gone.
struct item_changes
{
    std::uint64_t m_after = 0;
    std::uint64_t m_revision = 0;
    bool m_complete = false;
    std::vector<item> m_items;

    friend auto operator<=>(item_changes const&, item_changes const&) = default;
};

/// Items by key, complete up to one revision. Never goes back. Not
/// thread-safe.
class replica
{
public:
    /// Removals that are remembered; a peer that is further behind gets all.
    static constexpr std::size_t max_tombstones = 1'024;

    /// Takes over the changes. Gives those that were new here, removals
    /// included; none where the changes begin after the own revision.
    std::vector<item> apply(item_changes const& changes);

    /// Whether the changes can be taken over without a gap.
    [[nodiscard]] bool can_apply(item_changes const& changes) const noexcept;

    /// What a peer at that revision lacks.
    [[nodiscard]] item_changes changes_after(std::uint64_t revision) const;

    /// Everything up to this revision is known.
    [[nodiscard]] std::uint64_t revision() const noexcept;

private:
    void drop_tombstones();

    std::map<std::string, item> m_items; ///< Removed ones too.
    std::size_t m_tombstone_count = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_history_start = 0;
};

} // namespace hibiscustide::core::directory

#endif
