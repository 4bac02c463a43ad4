// Writes the result of a run as JSON and as text, and lists the guarantees that
// the run violated.
#include "experiments.hpp"

#include <fmt/format.h>

namespace hibiscustide::load
{

namespace
{

// The specified upper bound on the time from a withdrawal to the last request
// that is started at the withdrawn targets.
constexpr double max_withdrawal_ms = 3'000.0;

void expect_none(
    std::vector<std::string>& violations, std::uint64_t count,
    char const* description)
{
    if (count > 0)
    {
        violations.push_back(fmt::format("{} {}", count, description));
    }
}

void add_quantiles(
    Json::Value& value, std::string const& name, quantiles const& data)
{
    value[name + "_p50_ms"] = data.m_p50_ms;
    value[name + "_p99_ms"] = data.m_p99_ms;
}

void append_quantiles(
    std::string& text, char const* name, quantiles const& data)
{
    text += fmt::format(
        "  {:<20} p50 {:>7.2f} ms, p99 {:>7.2f} ms\n", name, data.m_p50_ms,
        data.m_p99_ms);
}

} // namespace

Json::Value to_json(run_result const& result)
{
    auto const& counts = result.m_counts;
    auto const& latency = result.m_latency;
    Json::Value value{Json::objectValue};
    value["experiment"] = result.m_options.m_experiment;
    value["user"] = result.m_options.m_user;
    value["policy"] = result.m_options.m_policy;
    value["seed"] = Json::UInt64{result.m_options.m_seed};
    value["load"] = result.m_options.m_load;
    value["requests"] = Json::UInt64{counts.m_requests};
    value["answered"] = Json::UInt64{counts.m_answered};
    value["refused_not_run"] = Json::UInt64{counts.m_refused_not_run};
    value["may_have_run"] = Json::UInt64{counts.m_may_have_run};
    value["lost"] = Json::UInt64{counts.m_lost};
    value["doubled"] = Json::UInt64{counts.m_doubled};
    value["cut"] = Json::UInt64{counts.m_cut};
    value["crossed"] = Json::UInt64{counts.m_crossed};
    value["false_refusals"] = Json::UInt64{counts.m_false_refusals};
    value["overload_violations"] = Json::UInt64{counts.m_overloads};
    value["p50_ms"] = latency.m_p50_ms;
    value["p99_ms"] = latency.m_p99_ms;
    value["p999_ms"] = latency.m_p999_ms;
    add_quantiles(value, "overhead", latency.m_overhead);
    add_quantiles(value, "order_overhead", latency.m_order_overhead);
    add_quantiles(value, "reference_overhead", latency.m_reference_overhead);
    add_quantiles(value, "added", latency.added());
    add_quantiles(value, "order_added", latency.order_added());
    value["caller_failovers"] = Json::UInt64{result.m_failovers};
    value["service_reads"] = Json::UInt64{result.m_service_reads};
    if (result.m_last_new_work_ms)
    {
        value["last_new_work_ms"] = *result.m_last_new_work_ms;
    }
    auto& reasons = value["reasons"] = Json::Value{Json::objectValue};
    for (auto const& [reason, count] : counts.m_reasons)
    {
        reasons[reason] = Json::UInt64{count};
    }
    return value;
}

std::string to_text(run_result const& result)
{
    auto const& counts = result.m_counts;
    auto const& latency = result.m_latency;
    auto text = fmt::format(
        "{} ({}), policy {}, seed {}, load {:.2f}\n",
        result.m_options.m_experiment, result.m_options.m_user,
        result.m_options.m_policy, result.m_options.m_seed,
        result.m_options.m_load);
    text += fmt::format(
        "calls: {} sent, {} answered, {} not run, {} may have run\n",
        counts.m_requests, counts.m_answered, counts.m_refused_not_run,
        counts.m_may_have_run);
    text += fmt::format(
        "       {} lost, {} doubled, {} cut, {} crossed, {} false refusals, "
        "{} overloads\n",
        counts.m_lost, counts.m_doubled, counts.m_cut, counts.m_crossed,
        counts.m_false_refusals, counts.m_overloads);
    text += fmt::format(
        "latency: p50 {:.2f} ms, p99 {:.2f} ms, p999 {:.2f} ms\n",
        latency.m_p50_ms, latency.m_p99_ms, latency.m_p999_ms);
    append_quantiles(text, "overhead", latency.m_overhead);
    append_quantiles(text, "order overhead", latency.m_order_overhead);
    append_quantiles(text, "reference overhead", latency.m_reference_overhead);
    append_quantiles(text, "added", latency.added());
    append_quantiles(text, "added to orders", latency.order_added());
    if (result.m_last_new_work_ms)
    {
        text += fmt::format(
            "last new work at a withdrawn target: {:.0f} ms after "
            "publication\n",
            *result.m_last_new_work_ms);
    }
    for (auto const& [reason, count] : counts.m_reasons)
    {
        text += fmt::format("  {:<40} {:>8}\n", reason, count);
    }
    text += result.m_fleet_report;
    return text;
}

std::vector<std::string> find_violations(run_result const& result)
{
    std::vector<std::string> violations;
    auto const& counts = result.m_counts;
    expect_none(violations, counts.m_lost, "lost requests");
    expect_none(violations, counts.m_doubled, "doubled requests");
    expect_none(violations, counts.m_cut, "cut requests");
    expect_none(violations, counts.m_crossed, "crossed responses");
    expect_none(violations, counts.m_false_refusals, "false refusals");
    expect_none(
        violations, counts.m_overloads, "requests started at a full target");
    if (counts.m_requests == 0)
    {
        violations.emplace_back("no request was sent");
    }
    if (result.m_last_new_work_ms.value_or(0.0) > max_withdrawal_ms)
    {
        violations.push_back(fmt::format(
            "new work at a withdrawn target {:.0f} ms after publication",
            *result.m_last_new_work_ms));
    }
    return violations;
}

} // namespace hibiscustide::load
