#include <hibiscustide/core/orders/key_owner.hpp>

#include <algorithm>
#include <utility>

#include <hibiscustide/core/hash.hpp>

namespace hibiscustide::core::orders
{

std::uint32_t range_of(std::string_view service, std::string_view key) noexcept
{
    auto const hash = hash_of(key, hash_of(service));
    return static_cast<std::uint32_t>(hash % ranges_per_service);
}

std::optional<owner_node> owner_of(
    release::fleet const& fleet, std::string_view service, std::uint32_t range)
{
    release::target_spec const* best = nullptr;
    std::uint64_t best_weight = 0;
    for (auto const* member : fleet.targets_in_service(service))
    {
        auto const weight = hash_of(member->m_name, range);
        if (best == nullptr || weight > best_weight)
        {
            best = member;
            best_weight = weight;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return owner_node{.m_name = best->m_name, .m_node = best->m_node};
}

owner_history::owner_history(std::string service)
    : m_service{std::move(service)}
{
}

void owner_history::update(
    std::shared_ptr<release::fleet const> fleet, time_point now)
{
    auto owners = owners_in(*fleet);
    auto const* const spec = fleet->find_service(m_service);
    bool const had_owners = !m_current.empty();
    if (had_owners && owners != m_current)
    {
        auto const horizon =
            spec == nullptr ? std::chrono::seconds{0} : spec->m_resend_horizon;
        m_past.push_back(
            {.m_owners = std::move(m_current), .m_until = now + horizon});
    }
    m_current = std::move(owners);
    m_fleet = std::move(fleet);
    while (!m_past.empty() && m_past.front().m_until <= now)
    {
        m_past.pop_front();
    }
    if (m_past.size() > max_changes)
    {
        m_incomplete_until = m_past.front().m_until;
        m_past.pop_front();
    }
}

std::vector<owner_node> owner_history::previous_owners(
    std::uint32_t range, time_point now) const
{
    std::vector<owner_node> found;
    for (auto const& past : m_past)
    {
        if (past.m_until <= now)
        {
            continue;
        }
        auto const& owner = past.m_owners[range];
        bool const is_current =
            !m_current.empty() && m_current[range].m_name == owner.m_name;
        bool const is_listed =
            std::find(found.begin(), found.end(), owner) != found.end();
        if (!is_current && !is_listed)
        {
            found.push_back(owner);
        }
    }
    return found;
}

time_point owner_history::incomplete_until() const noexcept
{
    return m_incomplete_until;
}

std::vector<owner_node> owner_history::owners_in(
    release::fleet const& fleet) const
{
    std::vector<owner_node> owners;
    for (std::uint32_t range = 0; range < ranges_per_service; ++range)
    {
        auto owner = owner_of(fleet, m_service, range);
        if (!owner)
        {
            return {};
        }
        owners.push_back(std::move(*owner));
    }
    return owners;
}

} // namespace hibiscustide::core::orders
