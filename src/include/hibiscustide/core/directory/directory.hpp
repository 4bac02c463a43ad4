/// \file
/// The directory: the configuration and the targets by which hibmesh routes
/// requests. The other node program, hibnode, uses release notes instead; see
/// core/release.
#ifndef HIBISCUSTIDE_CORE_DIRECTORY_DIRECTORY_HPP
#define HIBISCUSTIDE_CORE_DIRECTORY_DIRECTORY_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <hibiscustide/core/directory/configuration.hpp>
#include <hibiscustide/core/directory/target.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::directory
{

/// An immutable snapshot of the configuration, the targets and the withdrawn
/// failure domains. Threads share it without locks.
class directory
{
public:
    directory() = default;
    directory(
        std::shared_ptr<configuration const> config,
        std::vector<target> targets, std::set<std::string> withdrawn);

    [[nodiscard]] configuration const& config() const noexcept;

    /// Returns all targets, including draining ones, sorted by instance name.
    [[nodiscard]] std::vector<target> const& targets() const noexcept;

    /// Whether the failure domain is withdrawn and gets no requests.
    [[nodiscard]] bool is_withdrawn(std::string_view failure_domain) const;

    /// Whether the target may get new requests.
    [[nodiscard]] bool is_in_service(target const& entry) const;

    /// Whether the configuration names the target's service, or no service.
    [[nodiscard]] bool has_known_service(target const& entry) const noexcept;

    /// Returns the target with this instance name, or null. The directory owns
    /// it.
    [[nodiscard]] target const* find(std::string_view instance) const noexcept;

    /// Returns the most recently started target with a known service at the
    /// address, or null. The directory owns it.
    [[nodiscard]] target const* find_by_address(
        endpoint const& address) const noexcept;

    friend bool operator==(directory const& left, directory const& right);

private:
    std::shared_ptr<configuration const> m_config =
        std::make_shared<configuration const>();
    std::vector<target> m_targets;
    std::set<std::string> m_withdrawn;
};

using directory_ptr = std::shared_ptr<directory const>;

/// Applies the changes that the platform publishes and keeps the state that is
/// in force.
///
/// A configuration is ignored unless its version is higher than the version in
/// force, and a target's entry if a later one of the same start was seen
/// before: the publishing service may be restored from an older copy. A target
/// whose entry is removed although it is not draining is kept for a grace
/// period, since entries also expire while the publishing service is
/// unavailable; a draining target is removed at once. Not thread-safe.
class directory_state
{
public:
    /// How long a target is kept after its entry was removed although it was
    /// not draining.
    static constexpr std::chrono::milliseconds removal_grace{800};

    /// How long after a recovery of the publishing service a target without an
    /// entry is kept: running targets register again within this time.
    static constexpr std::chrono::milliseconds recovery_grace{2'100};

    /// Longest time for which a target is kept after the removal of its entry
    /// was read. A target may stop serving 2 s after its entry was removed, and
    /// some of that time passes until all nodes have read the removal.
    static constexpr std::chrono::milliseconds max_removal_grace{1'700};

    /// Puts a configuration into force if its version is higher than the
    /// version in force. Returns whether it did.
    bool put(configuration config);

    /// Number of removed targets whose last entries are kept, so that an older
    /// copy of them is recognised.
    static constexpr std::size_t max_removed_entries = 1'024;

    /// Adds or replaces a target and ends its grace period. Returns false, and
    /// changes nothing, if the entry is stale: one of the same start with a
    /// higher sequence was put before.
    bool put(target entry);

    /// Starts the grace period of a target, or removes it if it is draining.
    void remove(std::string_view instance, time_point now);

    /// Handles a target whose entry is missing from an older copy of which the
    /// publishing service was restored. Targets write their lost entries again,
    /// so it is removed only after the recovery grace, also if it is draining.
    /// A removal that was read before takes effect within max_removal_grace.
    void remove_missing(std::string_view instance, time_point now);

    /// Takes the targets of a failure domain out of service.
    void withdraw(std::string const& failure_domain);

    /// Puts the targets of a withdrawn failure domain back into service.
    void restore(std::string const& failure_domain);

    /// Handles a withdrawal that is missing from an older copy of which the
    /// publishing service was restored: it ends after the recovery grace.
    void restore_missing(std::string const& failure_domain, time_point now);

    /// Greatest age of a failure from which a recovery is inferred. A node that
    /// is not the reader does not call the publishing service, so an older
    /// failure does not show when the service recovered.
    static constexpr std::chrono::milliseconds max_failure_age{3'000};

    /// Records that the publishing service answers again after its last failure
    /// at `failed_at`. Returns whether this counts as a recovery, which starts
    /// the recovery grace.
    bool on_service_recovered(time_point failed_at, time_point now) noexcept;

    /// Records that a peer reports a recent recovery of the publishing service.
    /// Peers repeat the report for a while, so it does not change the time of a
    /// recovery that is already known.
    void on_peer_reported_recovery(time_point now) noexcept;

    /// Records that the publishing service was restored from an older copy.
    /// Starts the recovery grace. Grace periods that have begun are extended,
    /// that of a removal up to max_removal_grace.
    void on_service_restored(time_point now);

    /// Removes targets whose grace period is over, and ends withdrawals
    /// likewise. Returns when the next grace period ends.
    std::optional<time_point> expire(time_point now);

    /// The version of the configuration in force.
    [[nodiscard]] std::uint64_t version() const noexcept;

    /// Returns the current state as an immutable directory.
    [[nodiscard]] directory_ptr snapshot() const;

private:
    /// When a grace period ends.
    struct grace_end
    {
        time_point m_until;
        time_point m_latest = time_point::max(); ///< Limit of an extension.

        void extend(time_point until) noexcept;
    };

    using deadlines = std::map<std::string, grace_end, std::less<>>;

    /// The latest entry of a target that was put.
    struct entry_number
    {
        std::int64_t m_start_time_ms = 0;
        std::uint64_t m_sequence = 0;
    };

    void erase(std::string const& instance);

    std::shared_ptr<configuration const> m_config =
        std::make_shared<configuration const>();
    std::map<std::string, target, std::less<>> m_targets;
    std::map<std::string, entry_number, std::less<>> m_latest_entries;
    std::deque<std::string> m_removed; ///< In the order of their removal.
    deadlines m_removal_deadlines;
    deadlines m_restore_deadlines; ///< By withdrawn failure domain.
    std::set<std::string> m_withdrawn;
    std::optional<time_point> m_recovered_at;
};

} // namespace hibiscustide::core::directory

#endif
