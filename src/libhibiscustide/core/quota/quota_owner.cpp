#include <hibiscustide/core/quota/quota_owner.hpp>

#include <algorithm>
#include <utility>

#include <hibiscustide/core/hash.hpp>

namespace hibiscustide::core::quota
{

namespace
{

// Shares of the slack: what a new owner and a deputy have at once. The rest is
// for the first tokens of the fallback, see quota_share.
constexpr double new_owner_share = 0.15;
constexpr double deputy_share = 0.3;

// An owner that reaches only a part of the fleet grants at most that part of
// the rate, exceeded by this share of the tolerated excess.
constexpr double partition_share = 0.8;

// Rate of a deputy, and of the owner in a minority, in multiples of overage x
// rate x share of the nodes in reach. A deputy may grant while the owner grants
// the whole quota, so that both together and the leases use up the overage.
constexpr double deputy_factor = 0.8;
constexpr double minority_factor = 2;

// Tokens beyond those of the waiting request are granted only while the bucket
// is filled to this share: tokens that expire unused are lost for other nodes.
constexpr double min_fill_for_lease = 0.5;

} // namespace

quota_owner::quota_owner(quota_options options, quota_fleet const& fleet)
    : m_options{options},
      m_fleet{fleet}
{
}

quota_grant quota_owner::on_request(
    std::string_view sender, quota_request const& request,
    quota_limit const& limit, time_point now)
{
    forget_old_replies(now);
    // A node that restarts counts its requests from the beginning.
    request_key const key{
        hash_of(sender, request.m_organisation), request.m_sequence};
    auto const it = m_replies.find(key);
    if (it != m_replies.end())
    {
        return it->second;
    }
    auto const reply = reply_to(request, limit, now);
    m_replies.emplace(key, reply);
    m_recent.push_back({.m_request = key, .m_at = now});
    return reply;
}

void quota_owner::forget_old_replies(time_point now)
{
    while (!m_recent.empty() && now - m_recent.front().m_at >= reply_memory)
    {
        m_replies.erase(m_recent.front().m_request);
        m_recent.pop_front();
    }
}

quota_grant quota_owner::reply_to(
    quota_request const& request, quota_limit const& limit, time_point now)
{
    auto const role = m_fleet.role(request.m_organisation, now);
    bool const can_grant = role != quota_role::none && limit.m_rate > 0 &&
                           capacity_for(role, limit, now) >= 1;
    if (!can_grant)
    {
        return {.m_sequence = request.m_sequence};
    }
    auto it = m_entries.find(request.m_organisation);
    if (it == m_entries.end())
    {
        token_bucket const bucket{
            rate_for(role, limit, now), capacity_for(role, limit, now),
            initial_tokens(role, limit, now), now};
        it = m_entries
                 .emplace(
                     request.m_organisation,
                     entry{.m_bucket = bucket, .m_role = role})
                 .first;
    }
    auto& each = it->second;
    apply(each, role, limit, now);
    auto& bucket = each.m_bucket;
    auto const spare =
        bucket.available(now) - bucket.capacity() * min_fill_for_lease;
    auto const wanted =
        std::min<double>(request.m_wanted, std::max(1.0, spare));
    auto const granted = bucket.take(static_cast<std::uint32_t>(wanted), now);
    if (granted > 0)
    {
        return {
            .m_sequence = request.m_sequence,
            .m_outcome = quota_outcome::granted,
            .m_granted = granted};
    }
    auto const wait = std::chrono::ceil<std::chrono::milliseconds>(
        promise(each, rate_for(role, limit, now), now));
    return {
        .m_sequence = request.m_sequence,
        .m_outcome = quota_outcome::exhausted,
        .m_retry_after_ms = static_cast<std::uint32_t>(wait.count())};
}

void quota_owner::update(
    std::function<quota_limit(organisation_id)> const& limit_of, time_point now)
{
    forget_old_replies(now);
    for (auto it = m_entries.begin(); it != m_entries.end();)
    {
        auto const limit = limit_of(it->first);
        auto const role = m_fleet.role(it->first, now);
        auto& each = it->second;
        apply(each, role, limit, now);
        // A bucket that is not full is kept, since a new one would start with
        // more tokens.
        bool const is_idle = role == quota_role::none &&
                             each.m_bucket.time_until(
                                 each.m_bucket.capacity(), now) == duration{};
        bool const is_needed = limit.m_rate > 0 && !is_idle;
        it = is_needed ? std::next(it) : m_entries.erase(it);
    }
}

std::size_t quota_owner::size() const noexcept
{
    return m_entries.size();
}

double quota_owner::rate_for(
    quota_role role, quota_limit const& limit, time_point now) const
{
    auto const share = m_fleet.reachable_share(now);
    if (role == quota_role::owner)
    {
        auto const part = (1 + partition_share * m_options.m_overage) * share;
        return limit.m_rate * std::min(1.0, part);
    }
    auto const factor =
        role == quota_role::deputy ? deputy_factor : minority_factor;
    return limit.m_rate * factor * m_options.m_overage * share;
}

double quota_owner::capacity_for(
    quota_role role, quota_limit const& limit, time_point now) const
{
    if (role == quota_role::owner)
    {
        auto const part = (1 + partition_share * m_options.m_overage) *
                          m_fleet.reachable_share(now);
        return std::max(1.0, limit.capacity() * std::min(1.0, part));
    }
    return std::min(limit.capacity(), deputy_share * m_options.m_slack);
}

double quota_owner::initial_tokens(
    quota_role role, quota_limit const& limit, time_point now) const
{
    if (role != quota_role::owner)
    {
        return capacity_for(role, limit, now);
    }
    // The bucket exists since the node owns the quota, although its first
    // request comes later.
    std::chrono::duration<double> const age =
        now - m_fleet.unchanged_since(now);
    return new_owner_share * m_options.m_slack +
           age.count() * rate_for(role, limit, now);
}

void quota_owner::apply(
    entry& each, quota_role role, quota_limit const& limit,
    time_point now) const
{
    each.m_role = role;
    each.m_bucket.set_limit(
        rate_for(role, limit, now), capacity_for(role, limit, now), now);
}

// The time until there is room for one more request. Requests that are refused
// one after the other get different times, since one token serves only one of
// them; the times stay within a window.
duration quota_owner::promise(entry& each, double rate, time_point now) const
{
    auto const next = each.m_bucket.time_until(1, now);
    if (next >= m_options.m_window)
    {
        return std::min<duration>(next, std::chrono::hours{1});
    }
    auto const interval = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{1 / rate});
    auto const promised = std::clamp(
        each.m_promised_until + interval, now + next, now + m_options.m_window);
    each.m_promised_until = promised;
    return promised - now;
}

} // namespace hibiscustide::core::quota
