#include <hibiscustide/core/directory/change_exchange.hpp>

#include <algorithm>
#include <vector>

namespace hibiscustide::core::directory
{

namespace
{

// Part of the link that replies may use.
constexpr double link_share = 0.5;

// Replies may be sent this long before the link share permits them, so that
// several short ones can follow each other.
constexpr std::chrono::milliseconds max_lead{100};

constexpr std::uint32_t max_doublings = 3;

} // namespace

std::optional<std::size_t> change_requests::next(
    std::span<source const> sources, published_state const& known,
    std::uint64_t random, time_point now)
{
    if (known != m_known)
    {
        m_known = known;
        m_unanswered = 0;
        m_requested_at = {};
    }
    // The change is spreading, so another node soon has time for a reply.
    if (sources.size() > m_sources)
    {
        m_unanswered = std::min(m_unanswered, 2U);
    }
    m_sources = sources.size();
    // Busy nodes may not have replied to the first two requests, so the
    // interval grows only after them.
    auto const doublings =
        std::min(std::max(m_unanswered, 2U) - 2U, max_doublings);
    auto const interval =
        std::min(min_interval * (1U << doublings), max_interval);
    if (sources.empty() || now - m_requested_at < interval)
    {
        return std::nullopt;
    }
    std::vector<std::size_t> preferred;
    for (std::size_t n = 0; n < sources.size(); ++n)
    {
        if (sources[n].m_same_domain)
        {
            preferred.push_back(n);
        }
    }
    m_requested_at = now;
    ++m_unanswered;
    return preferred.empty() ? random % sources.size()
                             : preferred[random % preferred.size()];
}

change_reply_budget::change_reply_budget(double link_rate) noexcept
    : m_rate{std::max(link_rate, 1.0) * link_share}
{
}

bool change_reply_budget::may_reply(time_point now) const noexcept
{
    return m_sent_until <= now + max_lead;
}

void change_reply_budget::on_reply(std::size_t bytes, time_point now) noexcept
{
    std::chrono::duration<double> const needed{
        static_cast<double>(bytes) / m_rate};
    m_sent_until = std::max(m_sent_until, now) +
                   std::chrono::duration_cast<duration>(needed);
}

} // namespace hibiscustide::core::directory
