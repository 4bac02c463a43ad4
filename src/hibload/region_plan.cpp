#include "region_plan.hpp"

#include <utility>

namespace hibiscustide::load
{

namespace
{

using core::release::request_class;
using core::release::service_spec;
using std::chrono::microseconds;

constexpr std::uint16_t platform_port = 2'400;
constexpr std::uint16_t caller_port = 7'000;
constexpr std::uint16_t peer_port = 7'400;
constexpr std::uint16_t admin_port = 7'401;
constexpr std::uint16_t target_port = 8'080;

// Highest host number in the last octet of an address; further hosts of the
// same kind continue with the next value of the third octet.
constexpr std::size_t hosts_per_net = 200;
constexpr std::size_t first_vm_net = 1;
constexpr std::size_t first_link_net = 101;

struct service_size
{
    planned_service m_service;
    std::size_t m_targets;
};

std::string address(unsigned network, std::size_t net, std::size_t host)
{
    return "127." + std::to_string(network) + "." + std::to_string(net) + "." +
           std::to_string(host);
}

void add_targets(region_plan& plan, service_size const& size, unsigned network)
{
    for (std::size_t n = 0; n < size.m_targets; ++n)
    {
        auto const position = plan.m_targets.size();
        auto const net = position / hosts_per_net;
        auto const host = position % hosts_per_net + 1;
        auto const vm = address(network, first_vm_net + net, host);
        auto const link = address(network, first_link_net + net, host);
        auto const& spec = size.m_service.m_spec;
        plan.m_targets.push_back(
            {.m_name = spec.m_name + "-" + std::to_string(n + 1),
             .m_service = spec.m_name,
             .m_failure_domain =
                 plan.m_failure_domains[n % plan.m_failure_domains.size()],
             .m_target = {vm, target_port},
             .m_node_callers = {vm, caller_port},
             .m_node_peers = {vm, peer_port},
             .m_node_admin = {vm, admin_port},
             .m_link_callers = {link, caller_port},
             .m_link_peers = {link, peer_port}});
    }
}

service_spec make_spec(
    char const* name, std::uint32_t slots, std::uint32_t cold_slots,
    microseconds probe_cost)
{
    return {
        .m_name = name,
        .m_slots = slots,
        .m_cold_slots = cold_slots,
        .m_connections = 200,
        .m_probe_cost = probe_cost,
        .m_retry_share = 0.1,
        .m_timeout = std::chrono::milliseconds{2'000},
        .m_resend_horizon = std::chrono::seconds{60}};
}

std::vector<service_size> agencia_services()
{
    planned_service labels{
        .m_spec = make_spec("etiquetas", 20, 4, microseconds{1'000}),
        .m_calls = {
            {request_class::status, "GET", "/registros/", 0.70},
            {request_class::live, "GET", "/", 0.15},
            {request_class::order, "POST", "/pedidos/", 0.15}}};
    labels.m_spec.m_routes = {
        {"/", request_class::live},
        {"/registros/", request_class::status},
        {"/pedidos/", request_class::order},
        {"/relatorios/", request_class::background}};
    planned_service classes{
        .m_spec = make_spec("classificacao", 20, 4, microseconds{1'000}),
        .m_calls = {
            {request_class::status, "GET", "/registros/", 0.80},
            {request_class::live, "GET", "/", 0.20}}};
    classes.m_spec.m_routes = {
        {"/", request_class::live},
        {"/registros/", request_class::status},
        {"/indices/", request_class::internal}};
    return {{labels, 5}, {classes, 4}};
}

std::vector<service_size> gent_services()
{
    planned_service bookings{
        .m_spec = make_spec("booking-desk", 10, 2, microseconds{5'000}),
        .m_calls = {
            {request_class::status, "GET", "/status/", 0.60},
            {request_class::live, "GET", "/", 0.20},
            {request_class::order, "POST", "/bookings/", 0.15},
            {request_class::order, "POST", "/payouts/", 0.05}}};
    bookings.m_spec.m_routes = {
        {"/", request_class::live},
        {"/status/", request_class::status},
        {"/bookings/", request_class::order},
        {"/payouts/", request_class::order},
        {"/complaints/", request_class::background}};
    planned_service records{
        .m_spec = make_spec("records-desk", 10, 2, microseconds{5'000}),
        .m_calls = {
            {request_class::status, "GET", "/rides/", 0.70},
            {request_class::live, "GET", "/", 0.20},
            {request_class::background, "GET", "/complaints/", 0.10}}};
    records.m_spec.m_routes = {
        {"/", request_class::live},
        {"/rides/", request_class::status},
        {"/complaints/", request_class::background},
        {"/shifts/", request_class::internal}};
    return {{bookings, 5}, {records, 3}};
}

} // namespace

std::vector<std::string_view> user_names()
{
    return {"agencia", "gent"};
}

std::optional<region_plan> make_region_plan(
    std::string_view user, unsigned network)
{
    constexpr microseconds between_domains{1'000};
    region_plan plan{
        .m_user = std::string{user},
        .m_platform = {address(network, 0, 1), platform_port},
        .m_reference = {address(network, 0, 3), target_port},
        .m_reference_link = {address(network, 0, 4), target_port},
        .m_caller_address = address(network, 0, 2),
        .m_domain_delay = between_domains};
    std::vector<service_size> sizes;
    if (user == "agencia")
    {
        plan.m_region = "sul";
        plan.m_failure_domains = {"sul-poa", "sul-cwb", "sul-fln"};
        plan.m_caller_delay = microseconds{3'000};
        sizes = agencia_services();
    }
    else if (user == "gent")
    {
        plan.m_region = "oost-vl";
        plan.m_failure_domains = {"gent-centrum", "gent-dampoort", "gent-zuid"};
        plan.m_caller_delay = microseconds{10'000};
        sizes = gent_services();
    }
    else
    {
        return std::nullopt;
    }
    for (auto const& size : sizes)
    {
        plan.m_services.push_back(size.m_service);
        add_targets(plan, size, network);
    }
    return plan;
}

core::release::release_note first_note(region_plan const& plan)
{
    core::release::release_note note{.m_revision = 1};
    for (auto const& name : plan.m_failure_domains)
    {
        note.m_failure_domains.m_added.push_back(
            {.m_name = name, .m_region = plan.m_region});
    }
    for (auto const& service : plan.m_services)
    {
        note.m_services.m_added.push_back(service.m_spec);
    }
    for (auto const& target : plan.m_targets)
    {
        note.m_targets.m_added.push_back(
            {.m_name = target.m_name,
             .m_service = target.m_service,
             .m_failure_domain = target.m_failure_domain,
             .m_node = core::to_string(target.m_link_peers)});
    }
    return note;
}

} // namespace hibiscustide::load
