/// \file
/// The nodes that share the quotas, and the owner of each quota.
#ifndef HIBISCUSTIDE_CORE_QUOTA_QUOTA_FLEET_HPP
#define HIBISCUSTIDE_CORE_QUOTA_QUOTA_FLEET_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::quota
{

/// Settings of the quotas.
struct quota_options
{
    duration m_window = std::chrono::seconds{5};
    /// Excess over the quota that is tolerated in a window, as a share of it.
    double m_overage = 0;
    /// Requests over the quota that are tolerated in a window in addition.
    double m_slack = 0;

    /// Time for which a granted token may be kept for a later request.
    [[nodiscard]] duration lease() const noexcept;

    friend auto operator<=>(quota_options const&, quota_options const&) =
        default;
};

/// The published limit of one organisation.
struct quota_limit
{
    double m_rate = 0;  ///< Requests per second; 0: no limit.
    double m_burst = 0; ///< Requests.

    /// Number of tokens that accumulate, at least the one of a request.
    [[nodiscard]] double capacity() const noexcept;
};

/// Identifies an organisation in messages: the hash of its name.
using organisation_id = std::uint64_t;

[[nodiscard]] organisation_id make_organisation_id(
    std::string_view name) noexcept;

/// What a node may grant of an organisation's quota.
enum class quota_role
{
    none,   ///< Nothing.
    owner,  ///< The quota, or the largest part that is safe.
    deputy, ///< A small share, while the owner may still grant the quota.
    /// A small share, because the node reaches at most half of the fleet.
    minority_owner
};

/// A node by its hash, and how long ago it was heard.
struct heard_node
{
    std::uint64_t m_hash = 0;
    std::uint32_t m_age_ms = 0;

    friend bool operator==(heard_node const&, heard_node const&) = default;
};

/// The nodes of the directory and when each was heard last. Each node selects
/// the owner of a quota by rendezvous hashing among the nodes that it hears.
/// Not thread-safe.
class quota_fleet
{
public:
    /// A node is out of reach if no status has come from it for this long. The
    /// maximum interval between two statuses is 1.5 s.
    static constexpr duration reach_time = std::chrono::seconds{2};

    /// A node replaces an owner that it has not heard for this long. It is
    /// longer than reach_time: an owner that is cut off lowers its rate first.
    static constexpr duration promotion_time = std::chrono::seconds{3};

    /// A node that is removed from the directory while it may be running on the
    /// other side of a partition counts as out of reach for this long. A node
    /// that reported that it closes is not expected to run and does not count.
    static constexpr duration removal_memory = std::chrono::seconds{30};

    explicit quota_fleet(std::string self);

    /// Sets the addresses of the nodes in the directory. This node always
    /// counts as one of them.
    void set_nodes(std::vector<std::string> const& addresses, time_point now);

    /// Handles a status. `is_open` is whether the node's target accepts
    /// requests; one that does not may be stopping.
    void on_status(std::string const& address, bool is_open, time_point now);

    /// Hashes of the nodes that are out of reach, at most `max_lost`. Other
    /// nodes are asked whether they hear them: a node must not replace an owner
    /// that only it does not hear.
    static constexpr std::size_t max_lost = 32;
    [[nodiscard]] std::vector<std::uint64_t> lost_nodes(time_point now) const;

    /// Nodes in reach, at most `count`, to ask about lost nodes. `random`
    /// selects the first one.
    [[nodiscard]] std::vector<std::string> nodes_in_reach(
        std::size_t count, std::uint64_t random, time_point now) const;

    /// Those of the nodes that this node hears.
    [[nodiscard]] std::vector<heard_node> heard_of(
        std::vector<std::uint64_t> const& hashes, time_point now) const;

    /// Handles that another node hears these nodes.
    void on_heard_by_other(
        std::vector<heard_node> const& heard, time_point now);

    /// The nodes to ask for a token of the organisation: the owner and its
    /// deputy among the nodes that are in reach.
    [[nodiscard]] std::vector<std::string> nodes_to_ask(
        organisation_id organisation, time_point now) const;

    [[nodiscard]] quota_role role(
        organisation_id organisation, time_point now) const;

    /// Number of nodes that rank above this one for the organisation.
    [[nodiscard]] std::size_t rank(organisation_id organisation) const;

    /// Number of nodes, with the removed ones that are remembered.
    [[nodiscard]] std::size_t size(time_point now) const;

    /// Share of these nodes that are in reach, this node included.
    [[nodiscard]] double reachable_share(time_point now) const;

    /// Time of the last change that may have changed an owner: of the set of
    /// nodes in the directory, or of the nodes in reach.
    [[nodiscard]] time_point unchanged_since(time_point now) const;

    [[nodiscard]] std::string const& self() const noexcept;

private:
    struct node
    {
        std::uint64_t m_hash = 0;
        bool m_in_directory = false;
        bool m_open = true;
        time_point m_heard_at{};
        time_point m_heard_by_other_at{};
        time_point m_removed_at{};
    };

    [[nodiscard]] bool is_in_reach(
        std::string const& address, node const& each, time_point now) const;
    [[nodiscard]] static time_point last_heard(node const& each) noexcept;
    [[nodiscard]] bool is_counted(node const& each, time_point now) const;

    std::string m_self;
    std::uint64_t m_self_hash;
    std::map<std::string, node> m_nodes;
    time_point m_changed_at{};
};

} // namespace hibiscustide::core::quota

#endif
