/// \file
/// The experiments, which change a region or restart its processes under load.
#ifndef HIBISCUSTIDE_HIBLOAD_EXPERIMENTS_HPP
#define HIBISCUSTIDE_HIBLOAD_EXPERIMENTS_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <json/value.h>

#include "fleet_run.hpp"
#include "reconcile.hpp"

namespace hibiscustide::load
{

/// The withdrawal and return of a failure domain. Times are Unix time.
struct withdrawal
{
    std::string m_failure_domain;
    std::chrono::milliseconds m_withdrawn{0};
    std::chrono::milliseconds m_returned{0};
};

/// The result of an experiment besides the calls and the ledgers.
struct experiment_result
{
    std::optional<withdrawal> m_withdrawal;
};

/// One experiment. m_run is called while callers send; the load ends when it
/// returns.
struct experiment
{
    std::string_view m_name;
    std::string_view m_description; ///< Printed by `hibload list`.
    net::awaitable<experiment_result> (*m_run)(
        fleet_run& fleet, std::chrono::milliseconds span);
};

[[nodiscard]] std::span<experiment const> all_experiments() noexcept;

/// Returns the experiment with this name, or null.
[[nodiscard]] experiment const* find_experiment(std::string_view name) noexcept;

/// Options of one run of an experiment.
struct run_options
{
    std::string m_experiment;
    std::string m_user = "agencia";
    std::string m_policy = "sampled-load";
    std::uint64_t m_seed = 1;
    std::chrono::milliseconds m_span{20'000};
    std::chrono::milliseconds m_warm_up{4'000};
    double m_load = 0.5;
    std::chrono::microseconds m_mean_time{40'000};
    std::filesystem::path m_programs; ///< Folder of the other programs.
    bool m_keep_work = false;         ///< Keep the folder of logs and ledgers.
    std::filesystem::path m_calls;    ///< CSV file of all calls; none if empty.
};

/// Result of one run of an experiment.
struct run_result
{
    run_options m_options;
    outcome_counts m_counts;
    latency_summary m_latency;
    std::uint64_t m_failovers = 0;
    std::uint64_t m_service_reads = 0;
    /// Time from the withdrawal to the last request that was started at a
    /// target of the domain before its return.
    std::optional<double> m_last_new_work_ms;
    std::string m_fleet_report;
};

/// Runs one experiment from start to end. Throws std::runtime_error if the
/// processes can't be started.
[[nodiscard]] run_result run_experiment(run_options const& options);

/// Returns the result as one JSON object.
[[nodiscard]] Json::Value to_json(run_result const& result);

/// Returns the result as text for a terminal.
[[nodiscard]] std::string to_text(run_result const& result);

/// Returns a description of each guarantee that the run violated; empty for a
/// good run.
[[nodiscard]] std::vector<std::string> find_violations(
    run_result const& result);

} // namespace hibiscustide::load

#endif
