#include "experiments.hpp"

#include <algorithm>
#include <array>
#include <exception>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <fmt/format.h>

#include <hibiscustide/net/fleet_report.hpp>

#include "work_folder.hpp"

namespace hibiscustide::load
{

namespace
{

namespace asio = net::asio;
using std::chrono::milliseconds;

using net::no_throw;

// Pause between two restarts, so that each happens in a region that is complete
// again.
constexpr milliseconds restart_interval{300};

net::awaitable<void> sleep_for(milliseconds span)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, span};
    co_await timer.async_wait(no_throw);
}

net::awaitable<experiment_result> run_steady(fleet_run&, milliseconds span)
{
    co_await sleep_for(span);
    co_return experiment_result{};
}

net::awaitable<experiment_result> run_domain(
    fleet_run& fleet, milliseconds span)
{
    constexpr int parts = 3;
    auto const& plan = fleet.plan();
    withdrawal domain_withdrawal{.m_failure_domain = plan.m_failure_domains[1]};
    co_await sleep_for(span / parts);
    core::release::release_note withdrawal_note;
    withdrawal_note.m_failure_domains.m_withdrawn = {
        domain_withdrawal.m_failure_domain};
    domain_withdrawal.m_withdrawn = co_await fleet.publish(withdrawal_note);
    co_await sleep_for(span / parts);
    core::release::release_note return_note;
    return_note.m_failure_domains.m_added = {
        {.m_name = domain_withdrawal.m_failure_domain,
         .m_region = plan.m_region}};
    domain_withdrawal.m_returned = co_await fleet.publish(return_note);
    co_await sleep_for(span / parts);
    co_return experiment_result{.m_withdrawal = std::move(domain_withdrawal)};
}

net::awaitable<experiment_result> run_restart(fleet_run& fleet, milliseconds)
{
    for (std::size_t n = 0; n < fleet.plan().m_targets.size(); ++n)
    {
        co_await fleet.restart_node(n);
        co_await sleep_for(restart_interval);
    }
    for (std::size_t n = 0; n < fleet.plan().m_targets.size(); ++n)
    {
        co_await fleet.restart_target(n);
        co_await sleep_for(restart_interval);
    }
    co_return experiment_result{};
}

constexpr auto experiments = std::to_array<experiment>({
    {"steady", "load without any change", run_steady},
    {"domain", "a failure domain is withdrawn and returns", run_domain},
    {"restart",
     "each node and then each target is stopped gracefully and started again",
     run_restart},
});

void write_calls(
    std::filesystem::path const& file, std::vector<call_record> const& calls)
{
    std::ofstream out{file};
    out << "id,class,outcome,reason,ingress,target,sent_ms,latency_ms,"
           "added_ms\n";
    for (auto const& call : calls)
    {
        std::chrono::duration<double, std::milli> const sent =
            call.m_scheduled.time_since_epoch();
        out << fmt::format(
            "{},{},{},{},{},{},{:.3f},{:.3f},{:.3f}\n", call.m_id,
            core::release::to_string(call.m_class), to_string(call.m_outcome),
            call.m_reason, call.m_ingress, call.m_target, sent.count(),
            call.m_latency_ms, call.m_added_ms);
    }
}

double last_new_work_ms(
    region_plan const& plan, withdrawal const& domain_withdrawal,
    std::vector<ledger_line> const& ledger)
{
    double last = 0.0;
    for (auto const& line : ledger)
    {
        auto const has_name = [&](planned_target const& target)
        {
            return target.m_name == line.m_target;
        };
        auto const target = std::find_if(
            plan.m_targets.begin(), plan.m_targets.end(), has_name);
        bool const is_new_work =
            target != plan.m_targets.end() &&
            target->m_failure_domain == domain_withdrawal.m_failure_domain &&
            line.m_event == ledger_event::start &&
            line.m_at >= domain_withdrawal.m_withdrawn &&
            line.m_at < domain_withdrawal.m_returned;
        if (is_new_work)
        {
            std::chrono::duration<double, std::milli> const after =
                line.m_at - domain_withdrawal.m_withdrawn;
            last = std::max(last, after.count());
        }
    }
    return last;
}

struct experiment_run
{
    asio::io_context& m_context;
    experiment const& m_experiment;
    run_options const& m_options;
    fleet_run& m_fleet;
    callers& m_callers;
    run_result& m_result;
    experiment_result m_experiment_result;

    net::awaitable<void> run()
    {
        co_await m_fleet.start();
        co_await m_callers.run(m_options.m_warm_up);
        m_experiment_result =
            co_await m_experiment.m_run(m_fleet, m_options.m_span);
        m_callers.stop();
        co_await m_callers.finish();
        m_result.m_service_reads = co_await m_fleet.service_reads();
    }
};

} // namespace

std::span<experiment const> all_experiments() noexcept
{
    return experiments;
}

experiment const* find_experiment(std::string_view name) noexcept
{
    for (auto const& entry : experiments)
    {
        if (entry.m_name == name)
        {
            return &entry;
        }
    }
    return nullptr;
}

run_result run_experiment(run_options const& options)
{
    auto const* const selected = find_experiment(options.m_experiment);
    auto const plan =
        make_region_plan(options.m_user, loopback_network_for_process());
    if (selected == nullptr || !plan)
    {
        throw std::runtime_error{"unknown experiment or user"};
    }
    work_folder const work{options.m_keep_work};
    asio::io_context context{1};
    fleet_run fleet{
        context,
        {.m_plan = *plan,
         .m_policy = options.m_policy,
         .m_seed = options.m_seed,
         .m_mean_time = options.m_mean_time,
         .m_programs = options.m_programs,
         .m_work = work.path()}};
    callers load_callers{
        context,
        fleet.plan(),
        {.m_load = options.m_load,
         .m_mean_time = options.m_mean_time,
         .m_seed = options.m_seed}};
    run_result result{.m_options = options};
    experiment_run run{
        .m_context = context,
        .m_experiment = *selected,
        .m_options = options,
        .m_fleet = fleet,
        .m_callers = load_callers,
        .m_result = result};
    std::exception_ptr failure;
    asio::co_spawn(
        context, run.run(),
        [&](std::exception_ptr exception)
        {
            failure = std::move(exception);
            context.stop();
        });
    context.run();
    if (failure)
    {
        std::rethrow_exception(failure);
    }
    if (!options.m_calls.empty())
    {
        write_calls(options.m_calls, load_callers.records());
    }
    auto const ledger = read_ledgers(fleet.ledger_paths());
    result.m_counts = reconcile(load_callers.records(), ledger);
    result.m_latency = summarize_latency(
        load_callers.records(), load_callers.reference_records());
    result.m_failovers = load_callers.failovers();
    if (run.m_experiment_result.m_withdrawal)
    {
        result.m_last_new_work_ms = last_new_work_ms(
            fleet.plan(), *run.m_experiment_result.m_withdrawal, ledger);
    }
    result.m_fleet_report = net::to_text(
        net::summarize(net::gather_states(fleet.admin_endpoints())));
    return result;
}

} // namespace hibiscustide::load
