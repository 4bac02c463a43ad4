/// \file
/// The state of the fleet that requests are routed by.
#ifndef HIBISCUSTIDE_CORE_DIRECTORY_DIRECTORY_HPP
#define HIBISCUSTIDE_CORE_DIRECTORY_DIRECTORY_HPP

#include <cstdint>
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

/// One immutable view. Threads share it without locks.
class directory
{
public:
    directory() = default;
    directory(
        std::shared_ptr<configuration const> config,
        std::vector<target> targets, std::set<std::string> withdrawn);

    [[nodiscard]] configuration const& config() const noexcept;

    /// All targets, draining ones too, sorted by instance.
    [[nodiscard]] std::vector<target> const& targets() const noexcept;

    /// Whether the failure domain must get no requests.
    [[nodiscard]] bool is_withdrawn(std::string_view failure_domain) const;

    /// Whether the target may get new requests.
    [[nodiscard]] bool is_in_service(target const& which) const;

    /// The target with this instance name, or null. Owned by the directory.
    [[nodiscard]] target const* find(std::string_view instance) const noexcept;

    /// The youngest target at the address, or null. Owned by the directory.
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

/// Follows what is published and decides what of it is in force.
///
/// A configuration with a version that is not above the one in force is left
/// out. A target whose entry goes away without notice stays for a while, since
/// entries also lapse when the service that keeps them has been away; one that
/// said it would leave goes at once. Not thread-safe.
class directory_state
{
public:
    /// How long a target stays after its entry went away without notice.
    static constexpr std::chrono::milliseconds removal_grace{800};

    /// How long it stays if the entry was missing when the publishing service
    /// came back: live targets register again within this time.
    static constexpr std::chrono::milliseconds recovery_grace{2'100};

    /// Gives whether the configuration came into force.
    bool put(configuration config);
    void put(target entry);
    void remove(std::string_view instance, time_point now);
    void withdraw(std::string const& failure_domain);
    void restore(std::string const& failure_domain);

    /// Longer ago than this, a failure says nothing of when the publishing
    /// service returned: a reader that is not needed doesn't try it.
    static constexpr std::chrono::milliseconds max_failure_age{3'000};

    /// The publishing service answers again; it last failed at `failed_at`.
    /// Gives whether that is a return from which graces count.
    bool on_service_recovered(time_point failed_at, time_point now) noexcept;

    /// A peer says that it has been away until lately. Peers say so for a
    /// while, so their word does not move a return that is known.
    void on_peer_reported_recovery(time_point now) noexcept;

    /// Ends graces that are over. Gives when the next one ends.
    std::optional<time_point> expire(time_point now);

    [[nodiscard]] std::uint64_t version() const noexcept;
    [[nodiscard]] directory_ptr snapshot() const;

private:
    std::shared_ptr<configuration const> m_config =
        std::make_shared<configuration const>();
    std::map<std::string, target, std::less<>> m_targets;
    std::map<std::string, time_point, std::less<>> m_removal_deadlines;
    std::set<std::string> m_withdrawn;
    std::optional<time_point> m_recovered_at;
};

} // namespace hibiscustide::core::directory

#endif
