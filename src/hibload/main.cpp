// hibload: starts the processes of a region, sends load, injects faults and
// reports the outcome of every call.
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <string>

#include <CLI/CLI.hpp>

#include <hibiscustide/core/json_reader.hpp>
#include <hibiscustide/core/routing/policy.hpp>

#include "capacity.hpp"
#include "experiments.hpp"

namespace
{

namespace load = hibiscustide::load;

constexpr int exit_violation = 1;
constexpr int exit_failure = 2;

constexpr char const* footer = R"(
Examples:
  hibload list
  hibload run --experiment domain --user gent --seconds 30 --json domain.json

Exit status: 0 if all guarantees held, 1 if one was violated, 2 if the run
failed.)";

struct command_line
{
    load::run_options m_run;
    std::string m_json;
    std::vector<std::size_t> m_sizes{9, 500, 2'000, 5'700};
    std::int64_t m_seconds = 20;
    std::int64_t m_mean_us = 40'000;
};

void add_run_options(CLI::App& run_command, command_line& arguments)
{
    auto& options = arguments.m_run;
    std::vector<std::string> names;
    for (auto const& entry : load::all_experiments())
    {
        names.emplace_back(entry.m_name);
    }
    std::vector<std::string> policies;
    for (auto const name : hibiscustide::core::routing::policy_names())
    {
        policies.emplace_back(name);
    }
    std::vector<std::string> users;
    for (auto const name : load::user_names())
    {
        users.emplace_back(name);
    }
    run_command
        .add_option(
            "--experiment", options.m_experiment, "Name of the experiment")
        ->required()
        ->check(CLI::IsMember{names});
    run_command
        .add_option("--user", options.m_user, "User whose region is run")
        ->check(CLI::IsMember{users})
        ->capture_default_str();
    run_command
        .add_option("--policy", options.m_policy, "Policy that selects targets")
        ->check(CLI::IsMember{policies})
        ->capture_default_str();
    run_command
        .add_option(
            "--seed", options.m_seed, "Random seed of callers and targets")
        ->capture_default_str();
    run_command
        .add_option(
            "--seconds", arguments.m_seconds,
            "Length of the run after the warm-up, in seconds")
        ->check(CLI::Range(1, 3'600))
        ->capture_default_str();
    run_command
        .add_option("--load", options.m_load, "Load as a share of the capacity")
        ->check(CLI::Range(0.01, 10.0))
        ->capture_default_str();
    run_command
        .add_option(
            "--mean-us", arguments.m_mean_us,
            "Mean service time at a target, in microseconds")
        ->check(CLI::Range(100, 10'000'000))
        ->capture_default_str();
    run_command.add_option("--json", arguments.m_json, "File for the result");
    run_command.add_option(
        "--calls", options.m_calls, "CSV file with one line for each call");
    run_command.add_flag(
        "--keep", options.m_keep_work,
        "Keep the temporary folder with logs and ledgers");
}

int list_experiments()
{
    for (auto const& entry : load::all_experiments())
    {
        std::printf(
            "%-10.*s %.*s\n", static_cast<int>(entry.m_name.size()),
            entry.m_name.data(), static_cast<int>(entry.m_description.size()),
            entry.m_description.data());
    }
    return 0;
}

bool write_file(std::string const& path, Json::Value const& value)
{
    std::ofstream out{path};
    out << hibiscustide::core::write_json(value) << '\n';
    out.close();
    if (!out)
    {
        std::fprintf(stderr, "hibload: can't write %s\n", path.c_str());
        return false;
    }
    return true;
}

int run_capacity_command(command_line const& arguments)
{
    load::capacity_options const options{
        .m_sizes = arguments.m_sizes,
        .m_span = std::chrono::seconds{arguments.m_seconds},
        .m_programs = arguments.m_run.m_programs};
    auto const points = load::measure_capacity(options);
    std::fputs(load::to_text(points).c_str(), stdout);
    bool const written = arguments.m_json.empty() ||
                         write_file(arguments.m_json, to_json(points));
    return written ? 0 : exit_failure;
}

int run_experiment_command(command_line const& arguments)
{
    auto const result = load::run_experiment(arguments.m_run);
    std::fputs(load::to_text(result).c_str(), stdout);
    bool const written = arguments.m_json.empty() ||
                         write_file(arguments.m_json, load::to_json(result));
    if (!written)
    {
        return exit_failure;
    }
    auto const violations = load::find_violations(result);
    for (auto const& line : violations)
    {
        std::printf("BROKEN: %s\n", line.c_str());
    }
    return violations.empty() ? 0 : exit_violation;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Load generator and experiments for hibiscustide"};
    app.set_version_flag("--version", HIBISCUSTIDE_VERSION);
    app.footer(footer);
    app.require_subcommand(1);
    command_line arguments;
    auto* const list_command =
        app.add_subcommand("list", "List the experiments");
    auto* const run_command = app.add_subcommand("run", "Run one experiment");
    add_run_options(*run_command, arguments);
    auto* const capacity_command = app.add_subcommand(
        "capacity",
        "Measure the resource use of one node with fleets of several sizes");
    capacity_command
        ->add_option(
            "--targets", arguments.m_sizes,
            "Numbers of targets in the note to measure with")
        ->delimiter(',')
        ->check(CLI::Range(2, 20'000))
        ->capture_default_str();
    capacity_command
        ->add_option(
            "--seconds", arguments.m_seconds,
            "Length of the idle measurement, in seconds")
        ->check(CLI::Range(1, 3'600))
        ->capture_default_str();
    capacity_command->add_option(
        "--json", arguments.m_json, "File for the result");
    CLI11_PARSE(app, argc, argv);
    try
    {
        arguments.m_run.m_programs =
            std::filesystem::read_symlink("/proc/self/exe").parent_path();
        if (list_command->parsed())
        {
            return list_experiments();
        }
        if (capacity_command->parsed())
        {
            return run_capacity_command(arguments);
        }
        arguments.m_run.m_span = std::chrono::seconds{arguments.m_seconds};
        arguments.m_run.m_mean_time =
            std::chrono::microseconds{arguments.m_mean_us};
        return run_experiment_command(arguments);
    }
    catch (std::exception const& failure)
    {
        std::fprintf(stderr, "hibload: %s\n", failure.what());
        return exit_failure;
    }
}
