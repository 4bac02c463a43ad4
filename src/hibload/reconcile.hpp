/// \file
/// Compares the callers' results with the ledgers of the targets.
#ifndef HIBISCUSTIDE_HIBLOAD_RECONCILE_HPP
#define HIBISCUSTIDE_HIBLOAD_RECONCILE_HPP

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "callers.hpp"

namespace hibiscustide::load
{

/// Event of a request in a target's ledger.
enum class ledger_event
{
    start,
    done,
    cancelled,
    overload,
};

/// One line of a target's ledger.
struct ledger_line
{
    std::chrono::microseconds m_at{0}; ///< Unix time.
    std::string m_target;
    ledger_event m_event = ledger_event::start;
    std::uint64_t m_call = 0;
    std::string m_key;
};

/// Reads the ledgers of all targets. Throws std::runtime_error for a malformed
/// line. An incomplete last line is skipped: a crash can truncate it.
[[nodiscard]] std::vector<ledger_line> read_ledgers(
    std::vector<std::filesystem::path> const& files);

/// Counts of the calls of an experiment by outcome, and of violated guarantees.
struct outcome_counts
{
    std::uint64_t m_requests = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_refused_not_run = 0;
    std::uint64_t m_may_have_run = 0;
    std::uint64_t m_lost = 0;    ///< No response, or answered but never run.
    std::uint64_t m_doubled = 0; ///< Run twice where that is not allowed.
    std::uint64_t m_cut = 0;     ///< Truncated responses and aborted runs.
    std::uint64_t m_crossed = 0;
    std::uint64_t m_false_refusals = 0; ///< "Not run", but started.
    std::uint64_t m_overloads = 0;      ///< Starts at a full target.
    std::map<std::string, std::uint64_t> m_reasons;
};

/// Counts the outcomes of the calls and checks them against the ledger lines.
[[nodiscard]] outcome_counts reconcile(
    std::vector<call_record> const& calls,
    std::vector<ledger_line> const& ledger);

/// Quantiles of a latency, in milliseconds.
struct quantiles
{
    double m_p50_ms = 0.0;
    double m_p99_ms = 0.0;
};

/// Latencies of the measured calls, in milliseconds.
struct latency_summary
{
    double m_p50_ms = 0.0;
    double m_p99_ms = 0.0;
    double m_p999_ms = 0.0;
    /// Latency of a call less the target's service time and the links' delays:
    /// for calls other than orders, for orders, and for calls to the reference
    /// target, which don't pass through a node.
    quantiles m_overhead;
    quantiles m_order_overhead;
    quantiles m_reference_overhead;

    /// The latency that the load balancer adds: the overhead less that of the
    /// reference calls of the same run.
    [[nodiscard]] quantiles added() const noexcept;
    [[nodiscard]] quantiles order_added() const noexcept;
};

/// Computes the quantiles over the measured calls that were answered.
[[nodiscard]] latency_summary summarize_latency(
    std::vector<call_record> const& calls,
    std::vector<call_record> const& reference);

} // namespace hibiscustide::load

#endif
