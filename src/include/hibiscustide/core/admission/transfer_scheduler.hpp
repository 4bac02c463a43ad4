/// \file
/// Decides when the bodies of requests may be sent to this node.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_TRANSFER_SCHEDULER_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_TRANSFER_SCHEDULER_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// Parameters of a transfer_scheduler.
struct transfer_scheduler_options
{
    /// Bytes per second that the link of this VM receives.
    double m_link_rate = 125e6;
    /// Largest number of bytes of one body that are held in memory.
    std::uint64_t m_max_buffered = 131'072;
};

/// A body that a sender offers.
struct transfer
{
    std::uint64_t m_id = 0;
    std::uint32_t m_priority = 0; ///< Of its request; 0 is the most urgent.
    time_point m_objective{};     ///< Of its request.
    /// Length of the body in bytes; nothing if it is unknown.
    std::optional<std::uint64_t> m_length;
};

/// Permission to send a body up to this position.
struct transfer_grant
{
    std::uint64_t m_id = 0;
    std::uint64_t m_limit = 0; ///< In bytes from the start of the body.

    friend auto operator<=>(transfer_grant const&, transfer_grant const&) =
        default;
};

/// Schedules the bodies of requests that other nodes send to this one. A sender
/// offers a request without its body, and sends parts of the body as they are
/// granted.
///
/// The senders share the link of this VM, whose queue is first-in, first-out.
/// If each sent its body at once, short messages of other senders, such as
/// pings and the calls of running requests, would wait behind all bodies. So
/// only as many bytes are granted as the link passes on in `max_link_delay`.
/// Within that window, bodies are granted one after the other, the most urgent
/// first, since bodies that share the link all end late.
///
/// A body that its target reads slowly holds at most `m_max_buffered` bytes.
/// Not thread-safe.
class transfer_scheduler
{
public:
    /// Longest time for which granted bytes occupy the link.
    static constexpr std::chrono::milliseconds max_link_delay{25};

    explicit transfer_scheduler(transfer_scheduler_options const& options);

    /// Adds a body of which nothing has been granted.
    void add(transfer const& offered, time_point now);

    /// Records that bytes of the body have arrived.
    void on_received(std::uint64_t id, std::uint64_t bytes, time_point now);

    /// Records that bytes of the body have left this node's memory.
    void on_consumed(std::uint64_t id, std::uint64_t bytes);

    /// Removes a body that has arrived completely or is not needed.
    void remove(std::uint64_t id);

    /// Returns the grants that can be sent now. A body appears at most once.
    [[nodiscard]] std::vector<transfer_grant> take_grants(time_point now);

    /// Expected time until a body of this length would have arrived if it were
    /// offered now, behind all bodies that are offered already.
    [[nodiscard]] duration expected_time(std::uint64_t length) const noexcept;

    /// Number of offered bodies that have not arrived completely.
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct rank
    {
        std::uint32_t m_priority = 0;
        time_point m_objective{};
        std::uint64_t m_id = 0;

        friend auto operator<=>(rank const&, rank const&) = default;
    };

    struct state
    {
        std::optional<std::uint64_t> m_length;
        std::uint64_t m_granted = 0;
        std::uint64_t m_received = 0;
        std::uint64_t m_consumed = 0;
        time_point m_last_progress{}; ///< Last grant or arrival of bytes.

        [[nodiscard]] std::uint64_t in_flight() const noexcept
        {
            return m_granted > m_received ? m_granted - m_received : 0;
        }
    };

    [[nodiscard]] std::uint64_t window() const noexcept;
    [[nodiscard]] std::uint64_t bytes_in_flight(time_point now) const noexcept;
    [[nodiscard]] static bool is_stalled(
        state const& body, time_point now) noexcept;
    [[nodiscard]] std::uint64_t next_limit(
        state const& body, std::uint64_t available) const noexcept;
    [[nodiscard]] std::uint64_t remaining(state const& body) const noexcept;

    transfer_scheduler_options m_options;
    std::map<std::uint64_t, rank> m_ranks; ///< By id.
    std::map<rank, state> m_bodies;
};

} // namespace hibiscustide::core::admission

#endif
