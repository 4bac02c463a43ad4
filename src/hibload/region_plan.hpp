/// \file
/// The example regions of the experiments, with the present sizes of the two
/// users' fleets.
#ifndef HIBISCUSTIDE_HIBLOAD_REGION_PLAN_HPP
#define HIBISCUSTIDE_HIBLOAD_REGION_PLAN_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hibiscustide/core/endpoint.hpp>
#include <hibiscustide/core/release/note.hpp>

namespace hibiscustide::load
{

/// One target with the endpoints of the target, its node and the links to the
/// node.
struct planned_target
{
    std::string m_name;
    std::string m_service;
    std::string m_failure_domain;
    core::endpoint m_target;
    core::endpoint m_node_callers;
    core::endpoint m_node_peers;
    core::endpoint m_node_admin;
    core::endpoint m_link_callers;
    core::endpoint m_link_peers;
};

/// One kind of call and its share of a service's calls.
struct planned_call
{
    core::release::request_class m_class = core::release::request_class::live;
    std::string m_method;
    std::string m_path;
    double m_share = 0.0;
};

/// One service and the calls that callers send to it.
struct planned_service
{
    core::release::service_spec m_spec;
    std::vector<planned_call> m_calls;
};

/// The services, targets and addresses of one user's region.
struct region_plan
{
    std::string m_user;
    std::string m_region;
    std::vector<std::string> m_failure_domains;
    std::vector<planned_service> m_services;
    std::vector<planned_target> m_targets;
    core::endpoint m_platform;
    /// A target that is in no note. Callers reach it through a link but no
    /// node, so its calls show the latency of the test setup without the load
    /// balancer.
    core::endpoint m_reference;
    core::endpoint m_reference_link;
    std::string m_caller_address;
    std::chrono::microseconds m_domain_delay{0}; ///< One way.
    std::chrono::microseconds m_caller_delay{0}; ///< One way.
};

/// The names that make_region_plan accepts.
[[nodiscard]] std::vector<std::string_view> user_names();

/// Creates the plan of "agencia" or "gent" with addresses in
/// 127.NETWORK.0.0/16. Returns nothing for another name.
[[nodiscard]] std::optional<region_plan> make_region_plan(
    std::string_view user, unsigned network);

/// Creates the first note of a region, which adds all its failure domains,
/// services and targets.
[[nodiscard]] core::release::release_note first_note(region_plan const& plan);

} // namespace hibiscustide::load

#endif
