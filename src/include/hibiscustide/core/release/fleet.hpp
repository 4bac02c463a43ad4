/// \file
/// The state that the accepted release notes add up to.
#ifndef HIBISCUSTIDE_CORE_RELEASE_FLEET_HPP
#define HIBISCUSTIDE_CORE_RELEASE_FLEET_HPP

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hibiscustide/core/error.hpp>
#include <hibiscustide/core/release/note.hpp>

namespace hibiscustide::core::release
{

/// One failure domain as it stands. A withdrawn one stays known, with its
/// targets, until a note adds it again.
struct failure_domain
{
    failure_domain_spec m_spec;
    bool m_withdrawn = false;

    friend auto operator<=>(failure_domain const&, failure_domain const&) =
        default;
};

/// The parts that a fleet is made of, each sorted by name.
struct fleet_contents
{
    std::uint64_t m_revision = 0;
    std::string m_digest;
    std::chrono::milliseconds m_published{0};
    std::vector<service_spec> m_services;
    std::vector<target_spec> m_targets;
    std::vector<failure_domain> m_failure_domains;
};

/// Services, targets and failure domains in force at one revision. Immutable:
/// a note is applied by making the next fleet from this one. Readers share it
/// between threads without locks.
class fleet
{
public:
    /// The fleet before any note: revision 0, nothing in service.
    fleet() = default;

    /// Precondition: each part is sorted by name, and every target names a
    /// service and a failure domain that are there.
    explicit fleet(fleet_contents contents);

    [[nodiscard]] std::uint64_t revision() const noexcept;
    [[nodiscard]] std::string const& digest() const noexcept;

    /// When the newest note was published, in Unix time; 0 if it did not say.
    [[nodiscard]] std::chrono::milliseconds published() const noexcept;

    [[nodiscard]] std::vector<service_spec> const& services() const noexcept;
    [[nodiscard]] std::vector<target_spec> const& targets() const noexcept;
    [[nodiscard]] std::vector<failure_domain> const& failure_domains()
        const noexcept;

    /// The service with this name, or null. Owned by the fleet.
    [[nodiscard]] service_spec const* find_service(
        std::string_view name) const noexcept;

    /// The target with this name, or null. Owned by the fleet.
    [[nodiscard]] target_spec const* find_target(
        std::string_view name) const noexcept;

    /// The failure domain with this name, or null. Owned by the fleet.
    [[nodiscard]] failure_domain const* find_failure_domain(
        std::string_view name) const noexcept;

    /// Whether the target is known and its failure domain is not withdrawn.
    [[nodiscard]] bool in_service(std::string_view target) const noexcept;

    /// The targets of a service that are in service, in order of name.
    [[nodiscard]] std::vector<target_spec const*> targets_in_service(
        std::string_view service) const;

    friend auto operator<=>(fleet const&, fleet const&) = default;

private:
    std::uint64_t m_revision = 0;
    std::string m_digest;
    std::chrono::milliseconds m_published{0};
    std::vector<service_spec> m_services;
    std::vector<target_spec> m_targets;
    std::vector<failure_domain> m_failure_domains;
    // Positions in m_targets, sorted by service and then by name, so that
    // the members of one service are found without a pass over all targets.
    std::vector<std::uint32_t> m_by_service;
};

/// The fleet that the note makes out of the one before it, or every reason why
/// it can't be applied. `source` names the note in errors. The chain is not
/// checked here; note_log does that.
[[nodiscard]] value_or_errors<fleet> apply(
    fleet const& before, release_note const& note, std::string const& source);

/// A checkpoint that makes the same fleet out of an empty one.
[[nodiscard]] release_note checkpoint_of(fleet const& state);

} // namespace hibiscustide::core::release

#endif
