/// \file
/// A target that is registered in the directory from which hibmesh reads its
/// configuration.
#ifndef HIBISCUSTIDE_CORE_DIRECTORY_TARGET_HPP
#define HIBISCUSTIDE_CORE_DIRECTORY_TARGET_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

#include <hibiscustide/core/endpoint.hpp>

namespace hibiscustide::core::directory
{

/// One running target (a back end) with the properties that it registered.
struct target
{
    std::string m_instance; ///< Unique for each start of the target.
    std::string m_service;
    endpoint m_address;
    std::string m_failure_domain;
    std::uint32_t m_slots = 1; ///< Requests that can run at once.
    bool m_draining = false;   ///< It is shutting down and gets no requests.
    /// Time, at its registration, until the target is warm.
    std::chrono::milliseconds m_warm_up_left{0};
    std::int64_t m_start_time_ms = 0; ///< Unix time; 0 if unknown.
    /// Number of the entry among those of the same start. Snapshots of the
    /// directory do not contain it.
    std::uint64_t m_sequence = 0;

    friend auto operator<=>(target const&, target const&) = default;
};

} // namespace hibiscustide::core::directory

#endif
