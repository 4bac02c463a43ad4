#include <hibiscustide/core/quota/quota_fleet.hpp>

#include <algorithm>
#include <set>
#include <utility>

#include <hibiscustide/core/hash.hpp>

namespace hibiscustide::core::quota
{

namespace
{

// Share of the tolerated excess that the leases use up.
constexpr double lease_share = 0.2;

// The finaliser of SplitMix64, which makes a weight of two combined hashes.
std::uint64_t mix(std::uint64_t value) noexcept
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9U;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebU;
    value ^= value >> 31U;
    return value;
}

} // namespace

organisation_id make_organisation_id(std::string_view name) noexcept
{
    return hash_of(name);
}

duration quota_options::lease() const noexcept
{
    return std::chrono::duration_cast<duration>(
        m_window * (m_overage * lease_share));
}

double quota_limit::capacity() const noexcept
{
    return std::max(1.0, m_burst);
}

quota_fleet::quota_fleet(std::string self)
    : m_self{std::move(self)},
      m_self_hash{hash_of(m_self)}
{
    m_nodes[m_self] = {.m_hash = m_self_hash, .m_in_directory = true};
}

void quota_fleet::set_nodes(
    std::vector<std::string> const& addresses, time_point now)
{
    std::set<std::string_view> current{addresses.begin(), addresses.end()};
    current.insert(m_self);
    bool is_changed = false;
    for (auto const address : current)
    {
        auto const [it, is_new] = m_nodes.try_emplace(std::string{address});
        auto& each = it->second;
        if (is_new)
        {
            each.m_hash = hash_of(address);
        }
        if (!each.m_in_directory)
        {
            // A node has some time after it has been added to send its first
            // status.
            each.m_heard_at = now;
            is_changed = true;
        }
        each.m_in_directory = true;
    }
    for (auto it = m_nodes.begin(); it != m_nodes.end();)
    {
        auto& each = it->second;
        if (each.m_in_directory && !current.contains(it->first))
        {
            each.m_in_directory = false;
            each.m_removed_at = now;
            is_changed = true;
        }
        it = is_counted(each, now) ? std::next(it) : m_nodes.erase(it);
    }
    if (is_changed)
    {
        m_changed_at = now;
    }
}

void quota_fleet::on_status(
    std::string const& address, bool is_open, time_point now)
{
    auto const it = m_nodes.find(address);
    if (it == m_nodes.end())
    {
        return;
    }
    auto& each = it->second;
    if (each.m_in_directory && !is_in_reach(address, each, now))
    {
        m_changed_at = now;
    }
    each.m_heard_at = now;
    each.m_open = is_open;
}

std::vector<std::uint64_t> quota_fleet::lost_nodes(time_point now) const
{
    std::vector<std::uint64_t> hashes;
    for (auto const& [address, each] : m_nodes)
    {
        if (each.m_in_directory && !is_in_reach(address, each, now) &&
            hashes.size() < max_lost)
        {
            hashes.push_back(each.m_hash);
        }
    }
    return hashes;
}

std::vector<std::string> quota_fleet::nodes_in_reach(
    std::size_t count, std::uint64_t random, time_point now) const
{
    std::vector<std::string> nodes;
    for (auto const& [address, each] : m_nodes)
    {
        if (address != m_self && is_in_reach(address, each, now))
        {
            nodes.push_back(address);
        }
    }
    if (!nodes.empty())
    {
        // Nodes with neighbouring addresses may share a failure domain.
        auto const step = std::max<std::size_t>(nodes.size() / count, 1);
        std::vector<std::string> chosen;
        for (std::size_t n = 0; n < std::min(count, nodes.size()); ++n)
        {
            chosen.push_back(nodes[(random + n * step) % nodes.size()]);
        }
        return chosen;
    }
    return nodes;
}

std::vector<heard_node> quota_fleet::heard_of(
    std::vector<std::uint64_t> const& hashes, time_point now) const
{
    std::vector<heard_node> heard;
    for (auto const& [address, each] : m_nodes)
    {
        bool const is_asked =
            std::find(hashes.begin(), hashes.end(), each.m_hash) !=
            hashes.end();
        if (!is_asked || !is_in_reach(address, each, now))
        {
            continue;
        }
        auto const age = address == m_self
                             ? duration{}
                             : std::max(now - each.m_heard_at, duration{});
        auto const age_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(age);
        heard.push_back(
            {.m_hash = each.m_hash,
             .m_age_ms = static_cast<std::uint32_t>(age_ms.count())});
    }
    return heard;
}

void quota_fleet::on_heard_by_other(
    std::vector<heard_node> const& heard, time_point now)
{
    for (auto const& report : heard)
    {
        auto const it = std::find_if(
            m_nodes.begin(), m_nodes.end(),
            [&report](auto const& entry)
            {
                return entry.second.m_hash == report.m_hash;
            });
        if (it != m_nodes.end())
        {
            auto& each = it->second;
            each.m_heard_by_other_at = std::max(
                each.m_heard_by_other_at,
                now - std::chrono::milliseconds{report.m_age_ms});
        }
    }
}

std::vector<std::string> quota_fleet::nodes_to_ask(
    organisation_id organisation, time_point now) const
{
    using candidate = std::pair<std::uint64_t, std::string const*>;
    candidate first{0, nullptr};
    candidate second{0, nullptr};
    for (auto const& [address, each] : m_nodes)
    {
        if (!is_in_reach(address, each, now))
        {
            continue;
        }
        candidate const next{mix(organisation ^ each.m_hash), &address};
        if (first.second == nullptr || next.first > first.first)
        {
            second = std::exchange(first, next);
        }
        else if (second.second == nullptr || next.first > second.first)
        {
            second = next;
        }
    }
    std::vector<std::string> nodes{*first.second};
    if (second.second != nullptr)
    {
        nodes.push_back(*second.second);
    }
    return nodes;
}

quota_role quota_fleet::role(organisation_id organisation, time_point now) const
{
    auto const own_weight = mix(organisation ^ m_self_hash);
    std::size_t in_reach = 0;
    std::size_t recently_lost = 0;
    for (auto const& [address, each] : m_nodes)
    {
        if (mix(organisation ^ each.m_hash) <= own_weight ||
            !is_counted(each, now))
        {
            continue;
        }
        if (is_in_reach(address, each, now))
        {
            ++in_reach;
        }
        else if (now - last_heard(each) < promotion_time)
        {
            ++recently_lost;
        }
    }
    constexpr double half = 0.5;
    if (reachable_share(now) <= half)
    {
        return in_reach == 0 ? quota_role::minority_owner : quota_role::none;
    }
    switch (in_reach + recently_lost)
    {
    case 0:
        return quota_role::owner;
    case 1:
        return quota_role::deputy;
    default:
        return quota_role::none;
    }
}

std::size_t quota_fleet::rank(organisation_id organisation) const
{
    auto const own_weight = mix(organisation ^ m_self_hash);
    auto const above = std::count_if(
        m_nodes.begin(), m_nodes.end(),
        [organisation, own_weight](auto const& entry)
        {
            return mix(organisation ^ entry.second.m_hash) > own_weight;
        });
    return static_cast<std::size_t>(above);
}

std::size_t quota_fleet::size(time_point now) const
{
    auto const count = std::count_if(
        m_nodes.begin(), m_nodes.end(),
        [this, now](auto const& entry)
        {
            return is_counted(entry.second, now);
        });
    return static_cast<std::size_t>(count);
}

double quota_fleet::reachable_share(time_point now) const
{
    auto const count = std::count_if(
        m_nodes.begin(), m_nodes.end(),
        [this, now](auto const& entry)
        {
            return is_in_reach(entry.first, entry.second, now);
        });
    return static_cast<double>(count) / static_cast<double>(size(now));
}

time_point quota_fleet::unchanged_since(time_point now) const
{
    auto since = m_changed_at;
    for (auto const& [address, each] : m_nodes)
    {
        if (is_counted(each, now) && !is_in_reach(address, each, now))
        {
            since = std::max(since, last_heard(each) + promotion_time);
        }
    }
    return std::min(since, now);
}

std::string const& quota_fleet::self() const noexcept
{
    return m_self;
}

bool quota_fleet::is_in_reach(
    std::string const& address, node const& each, time_point now) const
{
    return address == m_self ||
           (each.m_in_directory && now - each.m_heard_at < reach_time);
}

time_point quota_fleet::last_heard(node const& each) noexcept
{
    return std::max(each.m_heard_at, each.m_heard_by_other_at);
}

bool quota_fleet::is_counted(node const& each, time_point now) const
{
    bool const is_heard = now - each.m_heard_at < reach_time;
    return each.m_in_directory
               ? each.m_open || is_heard || each.m_hash == m_self_hash
               : each.m_open && now - each.m_removed_at < removal_memory;
}

} // namespace hibiscustide::core::quota
