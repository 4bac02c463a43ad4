#include "fleet_run.hpp"

#include <csignal>
#include <stdexcept>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include <hibiscustide/core/json_reader.hpp>
#include <hibiscustide/core/orders/key_age.hpp>
#include <hibiscustide/core/release/digest.hpp>
#include <hibiscustide/core/release/note_codec.hpp>

#include "net/clock.hpp"
#include "net/fetch.hpp"

namespace hibiscustide::load
{

namespace
{

namespace asio = net::asio;
using std::chrono::milliseconds;

using net::no_throw;

constexpr milliseconds ready_timeout{20'000};
constexpr milliseconds check_interval{20};

// A node that is stopped still serves callers for drain_notice. The links are
// closed link_margin earlier, so that no link accepts a connection that the
// node would refuse.
constexpr milliseconds drain_notice{2'000};
constexpr milliseconds link_margin{100};

links_options make_links_options(region_plan const& plan)
{
    links_options options{
        .m_domain_delay = plan.m_domain_delay,
        .m_caller_delay = plan.m_caller_delay};
    options.m_links.push_back(
        {.m_listen = plan.m_reference_link, .m_server = plan.m_reference});
    for (auto const& target : plan.m_targets)
    {
        options.m_links.push_back(
            {.m_listen = target.m_link_callers,
             .m_server = target.m_node_callers,
             .m_server_domain = target.m_failure_domain});
        options.m_links.push_back(
            {.m_listen = target.m_link_peers,
             .m_server = target.m_node_peers,
             .m_server_domain = target.m_failure_domain});
        options.m_domains[target.m_node_peers.m_address] =
            target.m_failure_domain;
    }
    return options;
}

} // namespace

fleet_run::fleet_run(asio::io_context& context, fleet_run_options options)
    : m_context{context},
      m_options{std::move(options)},
      m_links{make_links_options(m_options.m_plan)},
      m_targets(m_options.m_plan.m_targets.size()),
      m_nodes(m_options.m_plan.m_targets.size())
{
}

net::awaitable<void> fleet_run::start()
{
    start_platform();
    start_reference();
    co_await wait_until_ready(plan().m_platform, "/admin/counts");
    co_await wait_until_ready(plan().m_reference, "/health");
    open_links(plan().m_reference.m_address);
    co_await publish(first_note(plan()));
    for (std::size_t n = 0; n < m_nodes.size(); ++n)
    {
        start_target(n);
        start_node(n);
    }
    for (std::size_t n = 0; n < m_nodes.size(); ++n)
    {
        auto const& target = plan().m_targets[n];
        co_await wait_until_ready(target.m_node_admin, "/health");
        open_links(target.m_node_peers.m_address);
    }
    // Before that time has passed, an owner can't distinguish a new order from
    // one that an earlier process may have run.
    co_await sleep_for(core::orders::key_age_margin + check_interval);
}

net::awaitable<milliseconds> fleet_run::publish(
    core::release::release_note note)
{
    auto const published = net::unix_now();
    note.m_revision = ++m_revision;
    note.m_predecessor = m_digest;
    note.m_published = published;
    auto const text = core::release::write_note(note);
    m_digest = core::release::digest_of(text);
    auto const response = co_await net::fetch(
        m_context, plan().m_platform, "/admin/release", text);
    if (!response || response->result() != net::status::ok)
    {
        throw std::runtime_error{"the platform rejected a release note"};
    }
    co_return published;
}

net::awaitable<void> fleet_run::restart_node(std::size_t index)
{
    auto const& target = plan().m_targets[index];
    auto& process = *m_nodes[index];
    process.signal(SIGTERM);
    co_await sleep_for(drain_notice - link_margin);
    m_links.close(target.m_node_peers.m_address);
    co_await wait_for_end(process);
    start_node(index);
    co_await wait_until_ready(target.m_node_admin, "/health");
    open_links(target.m_node_peers.m_address);
}

net::awaitable<void> fleet_run::restart_target(std::size_t index)
{
    m_targets[index]->signal(SIGTERM);
    co_await wait_for_end(*m_targets[index]);
    start_target(index);
    co_await wait_until_ready(plan().m_targets[index].m_target, "/health");
}

region_plan const& fleet_run::plan() const noexcept
{
    return m_options.m_plan;
}

std::vector<std::filesystem::path> fleet_run::ledger_paths() const
{
    std::vector<std::filesystem::path> paths;
    for (auto const& target : plan().m_targets)
    {
        paths.push_back(ledger_path(target));
    }
    return paths;
}

std::vector<core::endpoint> fleet_run::admin_endpoints() const
{
    std::vector<core::endpoint> endpoints;
    for (auto const& target : plan().m_targets)
    {
        endpoints.push_back(target.m_node_admin);
    }
    return endpoints;
}

net::awaitable<std::uint64_t> fleet_run::service_reads()
{
    auto const response =
        co_await net::fetch(m_context, plan().m_platform, "/admin/counts");
    core::field_errors errors;
    auto const text = response ? response->body() : "";
    auto const counts = core::parse_json(text, "counts", errors);
    co_return counts ? (*counts)["reads"].asUInt64() : 0;
}

void fleet_run::start_platform()
{
    m_platform = std::make_unique<child_process>(
        m_options.m_programs / "hibplatform",
        std::vector<std::string>{
            "--listen", core::to_string(plan().m_platform)},
        log_path("platform"));
}

void fleet_run::start_reference()
{
    constexpr std::uint32_t unlimited_slots = 10'000;
    std::vector<std::string> const arguments{
        "--name",       "reference",
        "--listen",     core::to_string(plan().m_reference),
        "--slots",      std::to_string(unlimited_slots),
        "--cold-slots", std::to_string(unlimited_slots),
        "--mean-us",    std::to_string(m_options.m_mean_time.count()),
        "--deviation",  std::to_string(m_options.m_deviation),
        "--seed",       std::to_string(m_options.m_seed)};
    m_reference = std::make_unique<child_process>(
        m_options.m_programs / "hibtarget", arguments, log_path("reference"));
}

void fleet_run::start_target(std::size_t index)
{
    auto const& target = plan().m_targets[index];
    core::release::service_spec spec;
    for (auto const& service : plan().m_services)
    {
        if (service.m_spec.m_name == target.m_service)
        {
            spec = service.m_spec;
        }
    }
    std::vector<std::string> const arguments{
        "--name",       target.m_name,
        "--listen",     core::to_string(target.m_target),
        "--ledger",     ledger_path(target).string(),
        "--slots",      std::to_string(spec.m_slots),
        "--cold-slots", std::to_string(spec.m_cold_slots),
        "--mean-us",    std::to_string(m_options.m_mean_time.count()),
        "--deviation",  std::to_string(m_options.m_deviation),
        "--seed",       std::to_string(m_options.m_seed + index)};
    m_targets[index] = std::make_unique<child_process>(
        m_options.m_programs / "hibtarget", arguments,
        log_path("target-" + target.m_name));
}

void fleet_run::start_node(std::size_t index)
{
    auto const& target = plan().m_targets[index];
    std::vector<std::string> const arguments{
        "--name",
        target.m_name,
        "--failure-domain",
        target.m_failure_domain,
        "--caller-listen",
        core::to_string(target.m_node_callers),
        "--peer-listen",
        core::to_string(target.m_node_peers),
        "--admin-listen",
        core::to_string(target.m_node_admin),
        "--target",
        core::to_string(target.m_target),
        "--platform",
        core::to_string(plan().m_platform),
        "--policy",
        m_options.m_policy,
        "--drain-notice-ms",
        std::to_string(drain_notice.count()),
        "--expected-nodes",
        std::to_string(plan().m_targets.size())};
    m_nodes[index] = std::make_unique<child_process>(
        m_options.m_programs / "hibnode", arguments,
        log_path("node-" + target.m_name));
}

void fleet_run::open_links(std::string const& server_address)
{
    if (auto const failure = m_links.open(server_address))
    {
        throw std::runtime_error{*failure};
    }
}

net::awaitable<void> fleet_run::wait_until_ready(
    core::endpoint server, std::string target)
{
    auto const deadline = std::chrono::steady_clock::now() + ready_timeout;
    while (std::chrono::steady_clock::now() < deadline)
    {
        auto const response = co_await net::fetch(m_context, server, target);
        if (response && response->result() == net::status::ok)
        {
            co_return;
        }
        co_await sleep_for(check_interval);
    }
    throw std::runtime_error{
        core::to_string(server) + target + " was not ready in time"};
}

net::awaitable<void> fleet_run::wait_for_end(child_process& process)
{
    while (process.is_running())
    {
        co_await sleep_for(check_interval);
    }
}

net::awaitable<void> fleet_run::sleep_for(milliseconds span)
{
    asio::steady_timer timer{m_context, span};
    co_await timer.async_wait(no_throw);
}

std::filesystem::path fleet_run::log_path(std::string const& name) const
{
    return m_options.m_work / (name + ".log");
}

std::filesystem::path fleet_run::ledger_path(planned_target const& target) const
{
    return m_options.m_work / (target.m_name + ".ledger");
}

} // namespace hibiscustide::load
