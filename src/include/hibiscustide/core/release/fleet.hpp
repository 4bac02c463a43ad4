/// \file
/// The fleet: the configuration that results from applying release notes.
///
/// A release note is one published change of the services, the targets and the
/// failure domains; see note.hpp. This is the configuration of hibnode; hibmesh
/// reads a directory instead, see core/directory.
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

/// A failure domain and whether it is withdrawn. The targets of a withdrawn
/// failure domain get no requests, but the domain and its targets remain in the
/// fleet; a note that adds the domain again returns it to service. In contrast,
/// a service or a target that a note withdraws is removed from the fleet.
struct failure_domain
{
    failure_domain_spec m_spec;
    bool m_withdrawn = false;

    friend auto operator<=>(failure_domain const&, failure_domain const&) =
        default;
};

/// The data of a fleet. Each list is sorted by name.
struct fleet_contents
{
    std::uint64_t m_revision = 0; ///< Of the newest note applied.
    std::string m_digest;         ///< Of that note; see release_note::m_digest.
    /// Publication time of that note, as Unix time; 0 if the note has none.
    std::chrono::milliseconds m_published{0};
    std::vector<service_spec> m_services;
    std::vector<target_spec> m_targets;
    std::vector<failure_domain> m_failure_domains;
};

/// The services, targets and failure domains in force at one revision. A fleet
/// is immutable, so threads can share it without locks; applying a note creates
/// a new fleet.
class fleet
{
public:
    /// Creates an empty fleet of revision 0, to which no note has been applied.
    fleet() = default;

    /// Precondition: each list is sorted by name, and the service and the
    /// failure domain of each target exist.
    explicit fleet(fleet_contents contents);

    /// Returns the revision of the newest note.
    [[nodiscard]] std::uint64_t revision() const noexcept;

    /// Returns the digest of the newest note; empty if no note was applied.
    [[nodiscard]] std::string const& digest() const noexcept;

    /// Returns the publication time of the newest note, as Unix time, or 0 if
    /// the note has none.
    [[nodiscard]] std::chrono::milliseconds published() const noexcept;

    [[nodiscard]] std::vector<service_spec> const& services() const noexcept;
    [[nodiscard]] std::vector<target_spec> const& targets() const noexcept;
    [[nodiscard]] std::vector<failure_domain> const& failure_domains()
        const noexcept;

    /// Returns the service with this name, or null. The fleet owns it.
    [[nodiscard]] service_spec const* find_service(
        std::string_view name) const noexcept;

    /// Returns the target with this name, or null. The fleet owns it.
    [[nodiscard]] target_spec const* find_target(
        std::string_view name) const noexcept;

    /// Returns the failure domain with this name, or null. The fleet owns it.
    [[nodiscard]] failure_domain const* find_failure_domain(
        std::string_view name) const noexcept;

    /// Returns whether the target exists and its failure domain is not
    /// withdrawn.
    [[nodiscard]] bool in_service(std::string_view target) const noexcept;

    /// Returns the targets of a service for which in_service is true, sorted by
    /// name.
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
    // Indices into m_targets, sorted by service and then by name, so that the
    // targets of a service are found without a scan of all targets.
    std::vector<std::uint32_t> m_by_service;
};

/// Applies a note to a fleet. Returns the new fleet, or all errors if the note
/// is not applicable. `source` identifies the note in errors. The revision and
/// the predecessor of the note are not checked here but by note_log, the class
/// that applies notes in order.
[[nodiscard]] value_or_errors<fleet> apply(
    fleet const& current, release_note const& note, std::string const& source);

/// Returns a checkpoint (a note with the complete state) that produces the same
/// fleet when it is applied to an empty fleet.
[[nodiscard]] release_note checkpoint_of(fleet const& state);

} // namespace hibiscustide::core::release

#endif
