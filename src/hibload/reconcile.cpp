#include "reconcile.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <unordered_map>

#include <hibiscustide/core/json_reader.hpp>

namespace hibiscustide::load
{

namespace
{

using core::release::request_class;

constexpr double p50 = 0.5;
constexpr double p99 = 0.99;

// Number of ledger events of one call.
struct call_runs
{
    unsigned m_starts = 0;
    unsigned m_ends = 0;
    unsigned m_done = 0;
};

std::optional<ledger_event> parse_event(std::string_view name)
{
    if (name == "start")
    {
        return ledger_event::start;
    }
    if (name == "done")
    {
        return ledger_event::done;
    }
    if (name == "cancelled")
    {
        return ledger_event::cancelled;
    }
    if (name == "overload")
    {
        return ledger_event::overload;
    }
    return std::nullopt;
}

std::uint64_t parse_call_id(std::string const& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

std::optional<ledger_line> parse_line(
    std::string const& text, std::string const& source)
{
    core::field_errors errors;
    auto const json = core::parse_json(text, source, errors);
    if (!json)
    {
        return std::nullopt;
    }
    core::json_reader const reader{*json, source, "", errors};
    auto const event = parse_event(reader.required_string("event"));
    ledger_line line{
        .m_at = std::chrono::microseconds{reader.required_uint(
            "us", {0, INT64_MAX})},
        .m_target = reader.required_string("target"),
        .m_event = event.value_or(ledger_event::start),
        .m_call = parse_call_id(reader.string_or("call", "")),
        .m_key = reader.string_or("key", "")};
    if (!errors.empty() || !event)
    {
        return std::nullopt;
    }
    return line;
}

void read_ledger(
    std::filesystem::path const& file, std::vector<ledger_line>& lines)
{
    std::ifstream in{file};
    std::string text;
    while (std::getline(in, text))
    {
        auto line = parse_line(text, file.string());
        if (line)
        {
            lines.push_back(std::move(*line));
            continue;
        }
        bool const is_last = in.eof();
        if (!is_last)
        {
            throw std::runtime_error{file.string() + ": malformed ledger line"};
        }
    }
}

std::unordered_map<std::uint64_t, call_runs> runs_by_call(
    std::vector<ledger_line> const& ledger)
{
    std::unordered_map<std::uint64_t, call_runs> runs;
    for (auto const& line : ledger)
    {
        auto& call = runs[line.m_call];
        switch (line.m_event)
        {
        case ledger_event::start:
            ++call.m_starts;
            break;
        case ledger_event::done:
            ++call.m_done;
            ++call.m_ends;
            break;
        case ledger_event::cancelled:
            ++call.m_ends;
            break;
        case ledger_event::overload:
            break;
        }
    }
    return runs;
}

std::uint64_t count_doubled_keys(std::vector<ledger_line> const& ledger)
{
    std::unordered_map<std::string, unsigned> starts;
    for (auto const& line : ledger)
    {
        if (line.m_event == ledger_event::start && !line.m_key.empty())
        {
            ++starts[line.m_key];
        }
    }
    auto const ran_twice = [](auto const& call)
    {
        return call.second > 1;
    };
    auto const count = std::count_if(starts.begin(), starts.end(), ran_twice);
    return static_cast<std::uint64_t>(count);
}

void count_call(
    call_record const& call, call_runs const& runs, outcome_counts& counts)
{
    ++counts.m_requests;
    if (call.m_outcome != call_outcome::answered)
    {
        ++counts.m_reasons
              [std::string{to_string(call.m_outcome)} + ": " + call.m_reason];
    }
    switch (call.m_outcome)
    {
    case call_outcome::answered:
        ++counts.m_answered;
        if (runs.m_done == 0)
        {
            ++counts.m_lost;
        }
        break;
    case call_outcome::not_run:
        ++counts.m_refused_not_run;
        if (runs.m_starts > 0)
        {
            ++counts.m_false_refusals;
        }
        break;
    case call_outcome::may_have_run:
        ++counts.m_may_have_run;
        break;
    case call_outcome::lost:
        ++counts.m_lost;
        break;
    case call_outcome::cut:
        ++counts.m_cut;
        break;
    case call_outcome::crossed:
        ++counts.m_crossed;
        break;
    }
    // Orders are counted by key in count_doubled_keys. Status calls may be sent
    // again, so a second run is no fault.
    bool const may_repeat = call.m_class == request_class::status ||
                            call.m_class == request_class::order;
    if (!may_repeat && runs.m_starts > 1)
    {
        ++counts.m_doubled;
    }
}

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
    {
        return 0.0;
    }
    auto const last = static_cast<double>(values.size() - 1);
    auto const position =
        static_cast<std::ptrdiff_t>(std::llround(last * share));
    auto const it = values.begin() + position;
    std::nth_element(values.begin(), it, values.end());
    return *it;
}

quantiles make_quantiles(std::vector<double>& values)
{
    return {
        .m_p50_ms = quantile(values, p50), .m_p99_ms = quantile(values, p99)};
}

quantiles difference(quantiles const& first, quantiles const& second)
{
    return {
        .m_p50_ms = first.m_p50_ms - second.m_p50_ms,
        .m_p99_ms = first.m_p99_ms - second.m_p99_ms};
}

bool is_measured_answer(call_record const& call)
{
    return call.m_measured && call.m_outcome == call_outcome::answered;
}

} // namespace

std::vector<ledger_line> read_ledgers(
    std::vector<std::filesystem::path> const& files)
{
    std::vector<ledger_line> lines;
    for (auto const& file : files)
    {
        read_ledger(file, lines);
    }
    return lines;
}

outcome_counts reconcile(
    std::vector<call_record> const& calls,
    std::vector<ledger_line> const& ledger)
{
    auto const runs = runs_by_call(ledger);
    outcome_counts counts;
    for (auto const& call : calls)
    {
        auto const it = runs.find(call.m_id);
        count_call(call, it == runs.end() ? call_runs{} : it->second, counts);
    }
    counts.m_doubled += count_doubled_keys(ledger);
    for (auto const& [id, call] : runs)
    {
        if (call.m_starts > call.m_ends)
        {
            ++counts.m_cut;
        }
    }
    auto const is_overload = [](ledger_line const& line)
    {
        return line.m_event == ledger_event::overload;
    };
    counts.m_overloads = static_cast<std::uint64_t>(
        std::count_if(ledger.begin(), ledger.end(), is_overload));
    return counts;
}

quantiles latency_summary::added() const noexcept
{
    return difference(m_overhead, m_reference_overhead);
}

quantiles latency_summary::order_added() const noexcept
{
    return difference(m_order_overhead, m_reference_overhead);
}

latency_summary summarize_latency(
    std::vector<call_record> const& calls,
    std::vector<call_record> const& reference)
{
    constexpr double p999 = 0.999;
    std::vector<double> latencies;
    std::vector<double> overhead;
    std::vector<double> order_overhead;
    for (auto const& call : calls)
    {
        if (!is_measured_answer(call))
        {
            continue;
        }
        latencies.push_back(call.m_latency_ms);
        bool const is_order = call.m_class == request_class::order;
        (is_order ? order_overhead : overhead).push_back(call.m_added_ms);
    }
    std::vector<double> reference_overhead;
    for (auto const& call : reference)
    {
        if (is_measured_answer(call))
        {
            reference_overhead.push_back(call.m_added_ms);
        }
    }
    return {
        .m_p50_ms = quantile(latencies, p50),
        .m_p99_ms = quantile(latencies, p99),
        .m_p999_ms = quantile(latencies, p999),
        .m_overhead = make_quantiles(overhead),
        .m_order_overhead = make_quantiles(order_overhead),
        .m_reference_overhead = make_quantiles(reference_overhead)};
}

} // namespace hibiscustide::load
