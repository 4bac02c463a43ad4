/// \file
/// Who reads the configuration service, and how often.
#ifndef HIBISCUSTIDE_CORE_RELEASE_READERS_HPP
#define HIBISCUSTIDE_CORE_RELEASE_READERS_HPP

#include <cstddef>
#include <string_view>

#include <hibiscustide/core/release/fleet.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::release
{

/// Nodes of each failure domain that watch the configuration service.
inline constexpr std::size_t readers_per_domain = 2;

/// Whether the node beside this target is one of its domain's readers. Chosen
/// by hashing over the note in force, so no election is needed; withdrawn
/// domains keep their readers, since a return must reach them too.
[[nodiscard]] bool is_reader(fleet const& state, std::string_view target);

/// Reads a second that the configuration service bears from all nodes.
inline constexpr double max_service_reads_per_second = 2'000.0;

/// The share of those reads that all readers try_take together, and the share
/// that all nodes try_take together beside it.
inline constexpr double reader_read_share = 0.4;
inline constexpr double node_read_share = 0.4;

/// Reads a second that one node may make by the note in force, so that the sum
/// over the fleet holds whoever is cut off or restarted: each reader has an
/// equal part of the readers' share, and every node an equal part of the
/// nodes' share. `nodes` is the size of the fleet as far as it is known.
[[nodiscard]] double max_read_rate(
    std::size_t nodes, std::size_t failure_domains, bool reader) noexcept;

/// One node's right to read: tokens that come at a rate. Not thread-safe.
class read_rate_limiter
{
public:
    /// Reads that a node may make at once when it starts: the head, the
    /// checkpoint and a few notes.
    static constexpr double burst = 4.0;

    /// `rate` is in reads a second.
    read_rate_limiter(double rate, time_point now) noexcept;

    /// Another rate from now on.
    void set_rate(double rate, time_point now) noexcept;

    /// Takes the right to one read; false where there is none yet.
    [[nodiscard]] bool try_take(time_point now) noexcept;

    /// How long until `try_take` can succeed; zero if it can now.
    [[nodiscard]] duration time_to_next(time_point now) noexcept;

private:
    void refill(time_point now) noexcept;

    double m_rate;
    double m_tokens = burst;
    time_point m_refilled_at;
};

} // namespace hibiscustide::core::release

#endif
