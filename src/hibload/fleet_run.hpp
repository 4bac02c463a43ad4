/// \file
/// Runs all processes of a region.
#ifndef HIBISCUSTIDE_HIBLOAD_FLEET_RUN_HPP
#define HIBISCUSTIDE_HIBLOAD_FLEET_RUN_HPP

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include <hibiscustide/core/release/fleet.hpp>
#include <hibiscustide/core/release/note.hpp>

#include "child_process.hpp"
#include "links.hpp"
#include "net/http_types.hpp"
#include "region_plan.hpp"

namespace hibiscustide::load
{

/// Options of the processes of a region.
struct fleet_run_options
{
    region_plan m_plan;
    std::string m_policy = "sampled-load";
    std::uint64_t m_seed = 1;
    std::chrono::microseconds m_mean_time{40'000};
    double m_deviation = 0.5;
    std::filesystem::path m_programs; ///< Folder of the other programs.
    std::filesystem::path m_work;     ///< Folder for logs and ledgers.
};

/// Starts the platform, the targets, the nodes and the links between them. The
/// destructor ends them all.
class fleet_run
{
public:
    fleet_run(net::asio::io_context& context, fleet_run_options options);

    /// Starts all processes, publishes the first note and waits until every
    /// node is ready. Throws std::runtime_error if a process is not ready
    /// within 20 s.
    net::awaitable<void> start();

    /// Publishes the note as the next revision. Returns the time of publication
    /// as Unix time.
    net::awaitable<std::chrono::milliseconds> publish(
        core::release::release_note note);

    /// Stops the node gracefully, waits for its end and starts it again.
    net::awaitable<void> restart_node(std::size_t index);

    /// Stops the target gracefully, waits for its end and starts it again.
    net::awaitable<void> restart_target(std::size_t index);

    [[nodiscard]] region_plan const& plan() const noexcept;

    /// Paths of the targets' ledgers.
    [[nodiscard]] std::vector<std::filesystem::path> ledger_paths() const;

    [[nodiscard]] std::vector<core::endpoint> admin_endpoints() const;

    /// Returns the number of reads that the configuration service has counted.
    net::awaitable<std::uint64_t> service_reads();

private:
    void start_platform();
    void start_reference();
    void start_target(std::size_t index);
    void start_node(std::size_t index);
    void open_links(std::string const& server_address);
    net::awaitable<void> wait_until_ready(
        core::endpoint server, std::string target);
    net::awaitable<void> wait_for_end(child_process& process);
    net::awaitable<void> sleep_for(std::chrono::milliseconds span);
    [[nodiscard]] std::filesystem::path log_path(std::string const& name) const;
    [[nodiscard]] std::filesystem::path ledger_path(
        planned_target const& target) const;

    net::asio::io_context& m_context;
    fleet_run_options m_options;
    links m_links;
    std::unique_ptr<child_process> m_platform;
    std::unique_ptr<child_process> m_reference;
    std::vector<std::unique_ptr<child_process>> m_targets;
    std::vector<std::unique_ptr<child_process>> m_nodes;
    std::uint64_t m_revision = 0;
    std::string m_digest;
};

} // namespace hibiscustide::load

#endif
