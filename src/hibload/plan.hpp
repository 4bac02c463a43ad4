/// \file
/// The regions that experiments run, at the users' present sizes.
#ifndef HIBISCUSTIDE_HIBLOAD_PLAN_HPP
#define HIBISCUSTIDE_HIBLOAD_PLAN_HPP

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

/// Where one target, its node and the links towards them listen.
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

/// One kind of request and its share of a service's calls.
struct planned_call
{
    core::release::request_class m_class = core::release::request_class::live;
    std::string m_method;
    std::string m_path;
    double m_share = 0.0;
};

struct planned_service
{
    core::release::service_spec m_spec;
    std::vector<planned_call> m_calls;
};

/// One user's region.
struct region_plan
{
    std::string m_user;
    std::string m_region;
    std::vector<std::string> m_failure_domains;
    std::vector<planned_service> m_services;
    std::vector<planned_target> m_targets;
    core::endpoint m_platform;
    /// A target that is in no note; callers reach it over a link alone, which
    /// shows what a call takes on this machine without the system.
    core::endpoint m_reference;
    core::endpoint m_reference_link;
    std::string m_caller_address;
    std::chrono::microseconds m_domain_delay{0}; ///< One way.
    std::chrono::microseconds m_caller_delay{0}; ///< One way.
};

/// The names that plan_for knows.
[[nodiscard]] std::vector<std::string_view> user_names();

/// The plan of "agencia" or "gent", at addresses in 127.NETWORK.0.0/16;
/// nothing for another name.
[[nodiscard]] std::optional<region_plan> plan_for(
    std::string_view user, unsigned network);

/// The first note of a region, with all that it has.
[[nodiscard]] core::release::release_note first_note(region_plan const& plan);

} // namespace hibiscustide::load

#endif
