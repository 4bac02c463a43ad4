/// \file
/// Decides which nodes read the publishing service.
#ifndef HIBISCUSTIDE_CORE_DIRECTORY_READER_SELECTION_HPP
#define HIBISCUSTIDE_CORE_DIRECTORY_READER_SELECTION_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::directory
{

/// In each failure domain the node of the highest rank that gets through
/// reads; the others hear from it. Ranks are hashes of addresses, so no
/// election is needed, and a node that has heard from no reader for a while
/// reads itself. Not thread-safe.
class reader_selection
{
public:
    /// How long the node of the highest rank, and the others, wait at most
    /// before they try again a service that does not answer.
    static constexpr std::chrono::milliseconds top_rank_max_retry{400};
    static constexpr std::chrono::milliseconds lower_rank_max_retry{2'000};

    /// A reader that says nothing for this long is replaced.
    static constexpr std::chrono::milliseconds reader_timeout{1'000};

    /// A node that has just started is told by those that it asked, until it
    /// knows who reads.
    static constexpr std::chrono::milliseconds startup_grace{2'500};

    explicit reader_selection(std::string_view own_address);

    /// A node of the own domain says that it is there and whether it reads.
    void on_peer(std::string_view address, bool reads, time_point now);

    /// Whether on_peer needs to hear of the address.
    [[nodiscard]] bool is_outranked_by(std::string_view address) const noexcept;

    /// The node has just learned what is published, from one that goes on
    /// telling it: readers that are there have time to say so.
    void start_grace_period(time_point now) noexcept;

    /// Whether this node reads.
    [[nodiscard]] bool should_read(time_point now) const noexcept;

    /// How long to wait at most before another try after failures.
    [[nodiscard]] std::chrono::milliseconds max_retry_delay(
        time_point now) const noexcept;

private:
    std::uint64_t m_own_rank;
    std::optional<time_point>
        m_reader_heard_at; ///< From a reader of higher rank.
    std::optional<time_point>
        m_higher_rank_heard_at; ///< Heard from a higher rank.
};

} // namespace hibiscustide::core::directory

#endif
