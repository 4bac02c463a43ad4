/// \file
/// The contents of the release notes that operators publish.
///
/// docs/RELEASE-NOTES.md lists each field with its unit, default and bounds.
#ifndef HIBISCUSTIDE_CORE_RELEASE_NOTE_HPP
#define HIBISCUSTIDE_CORE_RELEASE_NOTE_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscustide::core::release
{

/// The class of a request, which determines its priority and whether it may be
/// sent again. Release notes assign a class to each route.
enum class request_class
{
    live,       ///< Foreground request; never sent twice.
    status,     ///< Idempotent read; may be retried.
    background, ///< Queued behind live and status requests.
    internal,   ///< Accepted from other services only.
    order,      ///< Executed at most once per idempotency key.
};

/// Returns the name of a class as used in release notes.
[[nodiscard]] std::string_view to_string(request_class value) noexcept;

/// Assigns a class to all requests whose path starts with a prefix.
struct route_spec
{
    std::string m_prefix;
    request_class m_class = request_class::live;

    friend auto operator<=>(route_spec const&, route_spec const&) = default;
};

/// The configuration of a service: the capacity of each of its targets and the
/// handling of its requests. Callers select the service by the Host header.
struct service_spec
{
    std::string m_name;
    std::uint32_t m_slots = 0;
    std::uint32_t m_cold_slots = 0;
    std::uint32_t m_connections = 0;
    std::chrono::microseconds m_probe_cost{0};
    double m_retry_share = 0.0;
    std::chrono::milliseconds m_timeout{0};
    std::chrono::seconds m_resend_horizon{0};
    std::vector<route_spec> m_routes;

    friend auto operator<=>(service_spec const&, service_spec const&) = default;
};

/// A target and the node that runs beside it.
struct target_spec
{
    std::string m_name;
    std::string m_service;
    std::string m_failure_domain;
    std::string m_node; ///< Address where peers reach the node, "ip:port".

    friend auto operator<=>(target_spec const&, target_spec const&) = default;
};

/// A failure domain and its region.
struct failure_domain_spec
{
    std::string m_name;
    std::string m_region;

    friend auto operator<=>(
        failure_domain_spec const&, failure_domain_spec const&) = default;
};

/// The changes of a note to the services, the targets or the failure domains.
template <typename Spec>
struct changes
{
    std::vector<Spec> m_added;
    std::vector<Spec> m_changed;
    std::vector<std::string> m_withdrawn;

    [[nodiscard]] bool empty() const noexcept
    {
        return m_added.empty() && m_changed.empty() && m_withdrawn.empty();
    }

    friend auto operator<=>(changes const&, changes const&) = default;
};

/// A release note as published. A checkpoint is a note that contains the
/// complete state at its revision, so that a new node can start without the
/// earlier notes.
struct release_note
{
    std::uint64_t m_revision = 0;
    /// Digest of the previous note; empty if there is none.
    std::string m_predecessor;
    /// Digest of the text of this note. For a checkpoint, the digest of the
    /// note that has the same revision.
    std::string m_digest;
    std::chrono::milliseconds m_published{0}; ///< Since the Unix epoch.
    bool m_checkpoint = false;
    changes<service_spec> m_services;
    changes<target_spec> m_targets;
    changes<failure_domain_spec> m_failure_domains;

    friend auto operator<=>(release_note const&, release_note const&) = default;
};

} // namespace hibiscustide::core::release

#endif
