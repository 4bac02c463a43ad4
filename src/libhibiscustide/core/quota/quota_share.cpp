#include <hibiscustide/core/quota/quota_share.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace hibiscustide::core::quota
{

namespace
{

// Rate of the fallback, in multiples of overage x rate / nodes.
constexpr double fallback_factor = 2;

// Part of the slack that the first tokens of the fallback take, over the fleet.
constexpr double first_tokens_share = 0.35;

// Time constant of the moving average of arrivals.
constexpr double arrivals_s = 1;

// The state of an organisation without requests is kept for this long.
constexpr std::chrono::seconds idle_time{30};

// Tokens of requests that waited longer than this share of the window are not
// used again: a token used late adds to the requests of a later window.
constexpr double max_return_age_share = 0.2;

// Largest number of tokens in one message and of tokens kept.
constexpr std::uint32_t max_wanted = 64;

} // namespace

quota_share::quota_share(quota_options options, quota_fleet const& fleet)
    : m_options{options},
      m_fleet{fleet}
{
}

quota_step quota_share::acquire(
    organisation_id organisation, quota_limit const& limit, time_point now)
{
    auto& each = m_entries[organisation];
    count_arrival(each, now);
    drop_expired(each, now);
    if (!each.m_lease_ends.empty())
    {
        auto const end = each.m_lease_ends.front();
        each.m_lease_ends.erase(each.m_lease_ends.begin());
        return quota_granted{.m_granted_at = end - m_options.lease()};
    }
    if (m_pending.size() >= max_waiting)
    {
        return use_fallback(organisation, limit, now);
    }
    std::chrono::duration<double> const lease = m_options.lease();
    auto const expected =
        std::min<double>(each.m_arrivals * lease.count(), max_wanted - 1);
    auto const sequence = m_next_sequence++;
    auto nodes = m_fleet.nodes_to_ask(organisation, now);
    std::reverse(nodes.begin(), nodes.end());
    auto& request = m_pending[sequence];
    request = {
        .m_organisation = organisation,
        .m_limit = limit,
        .m_nodes = std::move(nodes),
        .m_wanted = 1 + static_cast<std::uint32_t>(expected),
        .m_began_at = now};
    return ask_next(sequence, request, now);
}

std::optional<quota_step> quota_share::on_grant(
    std::string const& from, quota_grant const& grant, time_point now)
{
    m_silent_since.erase(from);
    auto const it = m_pending.find(grant.m_sequence);
    if (it == m_pending.end())
    {
        // The tokens of a late grant are lost: when they were granted is not
        // known here.
        m_counts.m_expired += grant.m_granted;
        return std::nullopt;
    }
    auto& request = it->second;
    if (request.m_nodes.empty() || request.m_nodes.back() != from)
    {
        m_counts.m_expired += grant.m_granted;
        return std::nullopt;
    }
    switch (grant.m_outcome)
    {
    case quota_outcome::granted:
        break;
    case quota_outcome::exhausted:
        m_pending.erase(it);
        ++m_counts.m_refused;
        return quota_refused{
            .m_retry_after = std::chrono::milliseconds{grant.m_retry_after_ms}};
    case quota_outcome::not_responsible:
        request.m_nodes.pop_back();
        return ask_next(grant.m_sequence, request, now);
    }
    if (grant.m_granted == 0)
    {
        return std::nullopt;
    }
    m_counts.m_granted += grant.m_granted;
    auto const spare = std::min(grant.m_granted, request.m_wanted) - 1;
    auto& ends = m_entries[request.m_organisation].m_lease_ends;
    // The lease begins at the request, before the owner's grant.
    ends.insert(ends.end(), spare, request.m_began_at + m_options.lease());
    m_pending.erase(it);
    return quota_granted{.m_granted_at = now};
}

quota_step quota_share::on_timeout(std::uint64_t sequence, time_point now)
{
    auto const it = m_pending.find(sequence);
    if (it == m_pending.end())
    {
        return quota_refused{};
    }
    auto& request = it->second;
    auto const& node = request.m_nodes.back();
    if (request.m_sends < max_sends && !is_silent(node, now))
    {
        return send(sequence, request, now);
    }
    m_silent_since[node] = now;
    request.m_nodes.pop_back();
    return ask_next(sequence, request, now);
}

void quota_share::cancel(std::uint64_t sequence)
{
    m_pending.erase(sequence);
}

void quota_share::give_back(
    organisation_id organisation, quota_granted const& token, time_point now)
{
    if (now - token.m_granted_at > m_options.m_window * max_return_age_share)
    {
        ++m_counts.m_expired;
        return;
    }
    auto const it = m_entries.find(organisation);
    if (it != m_entries.end() && it->second.m_lease_ends.size() < max_wanted)
    {
        ++m_counts.m_returned;
        it->second.m_lease_ends.push_back(now + m_options.lease());
    }
}

void quota_share::update(
    std::function<quota_limit(organisation_id)> const& limit_of, time_point now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();)
    {
        auto& each = it->second;
        drop_expired(each, now);
        // A fallback bucket that is not full is kept, since a new one may start
        // with a token.
        bool const is_used =
            now - each.m_last_arrival_at < idle_time ||
            (each.m_fallback && each.m_fallback->available(now) < 1);
        bool const is_limited = limit_of(it->first).m_rate > 0;
        it = is_used && is_limited ? std::next(it) : m_entries.erase(it);
    }
    std::erase_if(
        m_silent_since,
        [now](auto const& silent)
        {
            return now - silent.second >= silence_time;
        });
}

quota_counts const& quota_share::counts() const noexcept
{
    return m_counts;
}

std::size_t quota_share::size() const noexcept
{
    return m_entries.size();
}

std::size_t quota_share::waiting() const noexcept
{
    return m_pending.size();
}

quota_step quota_share::send(
    std::uint64_t sequence, pending& each, time_point now)
{
    ++each.m_sends;
    return quota_wait{
        .m_to = each.m_nodes.back(),
        .m_message =
            {.m_sequence = sequence,
             .m_organisation = each.m_organisation,
             .m_wanted = each.m_wanted},
        .m_until = now + resend_interval};
}

quota_step quota_share::ask_next(
    std::uint64_t sequence, pending& each, time_point now)
{
    while (!each.m_nodes.empty() && is_silent(each.m_nodes.back(), now))
    {
        each.m_nodes.pop_back();
    }
    if (!each.m_nodes.empty())
    {
        each.m_sends = 0;
        // The lease of tokens that the next node grants begins now.
        each.m_began_at = now;
        return send(sequence, each, now);
    }
    auto const request = std::move(each);
    m_pending.erase(sequence);
    return use_fallback(request.m_organisation, request.m_limit, now);
}

quota_step quota_share::use_fallback(
    organisation_id organisation, quota_limit const& limit, time_point now)
{
    auto& bucket = m_entries[organisation].m_fallback;
    auto const nodes = static_cast<double>(m_fleet.size(now));
    auto const rate =
        limit.m_rate * fallback_factor * m_options.m_overage / nodes;
    if (!bucket)
    {
        auto const first_tokens = first_tokens_share * m_options.m_slack;
        bool const has_first_token =
            static_cast<double>(m_fleet.rank(organisation)) + 1 <= first_tokens;
        bucket.emplace(rate, 1, has_first_token ? 1 : 0, now);
    }
    bucket->set_limit(rate, 1, now);
    if (bucket->take(1, now) > 0)
    {
        ++m_counts.m_fallback;
        return quota_granted{.m_granted_at = now};
    }
    ++m_counts.m_refused;
    // The owner is expected to reply again within a window.
    return quota_refused{
        .m_retry_after =
            std::min(bucket->time_until(1, now), m_options.m_window)};
}

void quota_share::count_arrival(entry& each, time_point now) const
{
    std::chrono::duration<double> const passed = now - each.m_last_arrival_at;
    each.m_arrivals = each.m_arrivals * std::exp(-passed.count() / arrivals_s) +
                      1 / arrivals_s;
    each.m_last_arrival_at = now;
}

void quota_share::drop_expired(entry& each, time_point now)
{
    m_counts.m_expired += std::erase_if(
        each.m_lease_ends,
        [now](time_point end)
        {
            return end <= now;
        });
}

bool quota_share::is_silent(std::string const& address, time_point now) const
{
    auto const it = m_silent_since.find(address);
    return it != m_silent_since.end() && now - it->second < silence_time;
}

} // namespace hibiscustide::core::quota
