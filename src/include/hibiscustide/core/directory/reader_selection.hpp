/// \file
/// Decides which nodes read the directory from the publishing service. The
/// other nodes get the changes from their peers.
#ifndef HIBISCUSTIDE_CORE_DIRECTORY_READER_SELECTION_HPP
#define HIBISCUSTIDE_CORE_DIRECTORY_READER_SELECTION_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::directory
{

/// Selects the reader of a failure domain: the node with the highest rank that
/// reaches the publishing service reads from it and passes the changes on to
/// the other nodes. The rank is a hash of the address, so no election is
/// needed. A node that receives no status from a reader of higher rank for
/// reader_timeout reads as well. Not thread-safe.
class reader_selection
{
public:
    /// Longest delay between retries while the publishing service does not
    /// answer, for the node with the highest rank and for the other nodes.
    static constexpr std::chrono::milliseconds top_rank_max_retry{400};
    static constexpr std::chrono::milliseconds lower_rank_max_retry{2'000};

    /// A reader whose status is not received for this long is replaced.
    static constexpr std::chrono::milliseconds reader_timeout{1'000};

    /// How long a node that has just started relies on the peers that sent it
    /// the published items, until it receives the status of a reader.
    static constexpr std::chrono::milliseconds startup_grace{2'500};

    explicit reader_selection(std::string_view own_address);

    /// Handles the status of a peer in the same failure domain. `reads` is
    /// whether the peer reads from the publishing service.
    void on_peer(std::string_view address, bool reads, time_point now);

    /// Whether the address has a higher rank than this node. on_peer ignores
    /// all other addresses.
    [[nodiscard]] bool is_outranked_by(std::string_view address) const noexcept;

    /// Starts the startup grace. Called when a peer has sent the published
    /// items and will send further changes, so that existing readers have time
    /// to send their status.
    void start_grace_period(time_point now) noexcept;

    /// Whether this node should read from the publishing service.
    [[nodiscard]] bool should_read(time_point now) const noexcept;

    /// Longest delay before the next retry after a failed read.
    [[nodiscard]] std::chrono::milliseconds max_retry_delay(
        time_point now) const noexcept;

private:
    std::uint64_t m_own_rank;
    /// When the last status of a reader of higher rank was received.
    std::optional<time_point> m_reader_heard_at;
    /// When the last status of any node of higher rank was received.
    std::optional<time_point> m_higher_rank_heard_at;
};

} // namespace hibiscustide::core::directory

#endif
