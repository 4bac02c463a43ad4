/// \file
/// How nodes pass published changes to each other: from whom a node requests
/// them and how many replies it sends.
#ifndef HIBISCUSTIDE_CORE_DIRECTORY_CHANGE_EXCHANGE_HPP
#define HIBISCUSTIDE_CORE_DIRECTORY_CHANGE_EXCHANGE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include <hibiscustide/core/directory/replica.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::directory
{

/// Chooses from which node missing changes are requested, and when.
///
/// Few nodes read a change from the publishing service. If all others requested
/// it from the same one, its link would be busy for seconds. So each request
/// goes to a random node that has the change, and nodes that got it soon serve
/// others. Not thread-safe.
class change_requests
{
public:
    /// Time between the first two requests. It doubles for further ones that
    /// bring no change, up to max_interval, while there are no more sources
    /// than before.
    static constexpr std::chrono::milliseconds min_interval{150};
    static constexpr std::chrono::milliseconds max_interval{1'200};

    /// A node with a later state than this one.
    struct source
    {
        bool m_same_domain = false;
    };

    /// Returns the position of the source to which a request is sent now, one
    /// of the same failure domain if there is any. Returns nothing if there is
    /// no source, or if the last request is too recent. `known` is the
    /// state of this node, `random` any random number.
    [[nodiscard]] std::optional<std::size_t> next(
        std::span<source const> sources, published_state const& known,
        std::uint64_t random, time_point now);

private:
    published_state m_known;
    std::uint32_t m_unanswered = 0;
    std::size_t m_sources = 0;
    time_point m_requested_at{};
};

/// Limits the replies to requests for changes to a part of the link, because
/// requests of callers use the link, too. A node that gets no reply requests
/// the changes from another node. Not thread-safe.
class change_reply_budget
{
public:
    /// `link_rate`: bytes per second that the link of this VM sends.
    explicit change_reply_budget(double link_rate) noexcept;

    /// Whether earlier replies have left their part of the link.
    [[nodiscard]] bool may_reply(time_point now) const noexcept;

    /// Records a reply of this size.
    void on_reply(std::size_t bytes, time_point now) noexcept;

private:
    double m_rate; ///< Bytes per second.
    time_point m_sent_until{};
};

} // namespace hibiscustide::core::directory

#endif
