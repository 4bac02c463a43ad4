/// \file
/// The contents of the release notes that operators publish.
///
/// A release note is a published change of the configuration: of the services,
/// the targets and the failure domains. Notes are numbered by their revisions
/// and form a chain: each names the digest of its predecessor. The node program
/// hibnode takes its configuration from release notes; hibmesh takes it from a
/// directory instead, see core/directory.
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

/// The class of a request. It determines the request's place in the queue of
/// its target, whether a node may send the request again and who may send it.
/// Release notes assign a class to each route.
///
/// A request that a target refused without running it may be sent to another
/// target in every class. "Sent again" below refers to requests that may have
/// run.
enum class request_class
{
    /// Foreground request from any caller; never sent again.
    live,
    /// Idempotent read from any caller, with the priority of live requests; may
    /// be sent again.
    status,
    /// Request from any caller that, if it must wait at its target, waits
    /// behind the requests of all other classes; never sent again.
    background,
    /// Like live, but accepted only from other services of the fleet.
    internal,
    /// Request from any caller, with the priority of live requests; nodes never
    /// send it again. Runs at most once for each idempotency key: a caller that
    /// sends the key again gets the stored answer or a refusal. A request
    /// without a key has no stored answer.
    order,
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
    /// Maximum number of requests that one target runs at once.
    std::uint32_t m_slots = 0;
    /// The same limit for a target that has just started or returned to
    /// service. The limit then rises to m_slots with the answers of the target.
    std::uint32_t m_cold_slots = 0;
    /// Maximum number of connections to one target from each traffic thread of
    /// the node beside it.
    std::uint32_t m_connections = 0;
    /// Processing time of one health probe at the target. The interval between
    /// probes is computed from it.
    std::chrono::microseconds m_probe_cost{0};
    /// Number of retries that each request adds to the retry budget; 0.1 allows
    /// one retry for ten requests.
    double m_retry_share = 0.0;
    /// Maximum time for a request with all its attempts.
    std::chrono::milliseconds m_timeout{0};
    /// How long after its first attempt a caller may send an order again with
    /// the same idempotency key.
    std::chrono::seconds m_resend_horizon{0};
    /// The route with the longest matching prefix applies to a request.
    std::vector<route_spec> m_routes;

    friend auto operator<=>(service_spec const&, service_spec const&) = default;
};

/// A target (a back end) and the node that runs beside it.
struct target_spec
{
    std::string m_name;
    std::string m_service;        ///< Name of the service that it serves.
    std::string m_failure_domain; ///< Name of its failure domain.
    std::string m_node; ///< Address where peers reach the node, "ip:port".

    friend auto operator<=>(target_spec const&, target_spec const&) = default;
};

/// A failure domain (a zone) and the region to which it belongs.
struct failure_domain_spec
{
    std::string m_name;
    std::string m_region;

    friend auto operator<=>(
        failure_domain_spec const&, failure_domain_spec const&) = default;
};

/// The changes of a note to the services, the targets or the failure domains.
/// `Spec` is the type of the items.
template <typename Spec>
struct changes
{
    /// New items. A withdrawn failure domain that is listed here returns to
    /// service.
    std::vector<Spec> m_added;
    /// New values of existing items.
    std::vector<Spec> m_changed;
    /// Names of existing items. A service or a target is removed from the
    /// fleet; a failure domain is kept, but its targets get no requests.
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
    /// One more than the revision of the previous note; for a checkpoint, the
    /// revision of its state.
    std::uint64_t m_revision = 0;
    /// Digest of the previous note; empty if there is none.
    std::string m_predecessor;
    /// Digest of the text of this note. For a checkpoint, the digest of the
    /// note that has the same revision.
    std::string m_digest;
    std::chrono::milliseconds m_published{0}; ///< Since the Unix epoch.
    bool m_checkpoint = false; ///< Whether the note is a checkpoint.
    changes<service_spec> m_services;
    changes<target_spec> m_targets;
    changes<failure_domain_spec> m_failure_domains;

    friend auto operator<=>(release_note const&, release_note const&) = default;
};

} // namespace hibiscustide::core::release

#endif
