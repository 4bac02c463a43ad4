/// \file
/// Selects the nodes that read release notes from the configuration service and
/// limits how often they read. The other nodes get the notes from their peers.
#ifndef HIBISCUSTIDE_CORE_RELEASE_READERS_HPP
#define HIBISCUSTIDE_CORE_RELEASE_READERS_HPP

#include <cstddef>
#include <string_view>

#include <hibiscustide/core/release/fleet.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::release
{

/// The number of nodes in each failure domain that watch the configuration
/// service.
inline constexpr std::size_t readers_per_domain = 2;

/// Returns whether the node beside this target is a reader of its failure
/// domain. Readers are selected by the hashes of the target names in the fleet,
/// so no election is needed. Withdrawn domains keep their readers, because they
/// must also receive the note that returns them to service.
[[nodiscard]] bool is_reader(fleet const& state, std::string_view target);

/// The number of reads per second by all nodes that the configuration service
/// can sustain.
inline constexpr double max_service_reads_per_second = 2'000.0;

/// The shares of max_service_reads_per_second that are divided among all
/// readers and, in addition, among all nodes.
inline constexpr double reader_read_share = 0.4;
inline constexpr double node_read_share = 0.4;

/// Returns the number of reads per second that a node may make: an equal part
/// of node_read_share and, for a reader, an equal part of reader_read_share.
/// The total of all nodes stays within max_service_reads_per_second even if
/// nodes are disconnected or restarted, because the rate of a node depends only
/// on the note in force. `nodes` is the size of the fleet as far as it is
/// known.
[[nodiscard]] double max_read_rate(
    std::size_t nodes, std::size_t failure_domains, bool reader) noexcept;

/// A token bucket that limits the reads of one node. Not thread-safe.
class read_rate_limiter
{
public:
    /// The capacity of the bucket, which is full at the start. It allows a
    /// starting node to read the newest revision, the checkpoint and a few
    /// notes at once.
    static constexpr double burst = 4.0;

    /// `rate` is in reads per second.
    read_rate_limiter(double rate, time_point now) noexcept;

    /// Changes the rate; the tokens earned so far are kept.
    void set_rate(double rate, time_point now) noexcept;

    /// Takes a token for one read. Returns false if none is available.
    [[nodiscard]] bool try_take(time_point now) noexcept;

    /// Returns the time until a token is available, zero if one is available
    /// now.
    [[nodiscard]] duration time_to_next(time_point now) noexcept;

private:
    void refill(time_point now) noexcept;

    double m_rate;
    double m_tokens = burst;
    time_point m_refilled_at;
};

} // namespace hibiscustide::core::release

#endif
