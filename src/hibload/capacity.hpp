/// \file
/// Measures the resource use of one node as a function of the fleet's size.
#ifndef HIBISCUSTIDE_HIBLOAD_CAPACITY_HPP
#define HIBISCUSTIDE_HIBLOAD_CAPACITY_HPP

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <string>
#include <vector>

#include <json/value.h>

namespace hibiscustide::load
{

/// Options of a capacity measurement.
struct capacity_options
{
    std::vector<std::size_t> m_sizes; ///< Fleet sizes, in targets.
    std::chrono::seconds m_span{10};  ///< Length of the idle measurement.
    std::size_t m_changes = 20;       ///< Notes published after it.
    std::filesystem::path m_programs; ///< Folder of the other programs.
};

/// The resource use of one node with a fleet of one size.
struct capacity_point
{
    std::size_t m_targets = 0;
    double m_note_bytes = 0.0;
    double m_start_ms = 0.0;  ///< From the node's start until it was ready.
    double m_memory_mb = 0.0; ///< Resident, after the changes.
    double m_idle_cpu_share = 0.0;      ///< Share of a core while idle.
    double m_change_cpu_ms = 0.0;       ///< CPU time to apply one small note.
    double m_peer_calls_per_s = 0.0;    ///< While idle, made by the node.
    double m_peer_bytes_per_s = 0.0;    ///< While idle, both ways, bodies only.
    double m_service_reads_per_s = 0.0; ///< While idle.
    double m_probes_per_s = 0.0;        ///< While idle.
};

/// Measures the sizes one after the other. The measured node is a hibnode
/// process with a target and the platform; a second hibnode process simulates
/// all its peers. Throws std::runtime_error if the processes can't be started.
[[nodiscard]] std::vector<capacity_point> measure_capacity(
    capacity_options const& options);

/// Returns the points and, for each metric, the least-squares line through them
/// with its root mean square error.
[[nodiscard]] Json::Value to_json(std::vector<capacity_point> const& points);
[[nodiscard]] std::string to_text(std::vector<capacity_point> const& points);

} // namespace hibiscustide::load

#endif
