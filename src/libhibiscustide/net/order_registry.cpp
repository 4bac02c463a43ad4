#include "net/order_registry.hpp"

#include <utility>

#include "net/clock.hpp"

namespace hibiscustide::net
{

namespace
{

// Removes the prefix "service/" of a key. The name of a service contains no
// slash.
std::string_view without_service(std::string_view key)
{
    return key.substr(key.find('/') + 1);
}

} // namespace

order_registry::order_registry(std::string name)
    : m_name{std::move(name)},
      m_records{core::orders::order_records_options{}},
      m_records_start{.m_at = clock_now(), .m_at_unix = unix_now()},
      m_fleet{std::make_shared<core::release::fleet const>()}
{
}

void order_registry::change_fleet(
    std::shared_ptr<core::release::fleet const> fleet)
{
    std::lock_guard const lock{m_mutex};
    auto const* const target = fleet->find_target(m_name);
    if (target != nullptr && target->m_service != m_service)
    {
        m_service = target->m_service;
        m_history.emplace(m_service);
    }
    if (m_history)
    {
        m_history->update(fleet, clock_now());
    }
    m_fleet = std::move(fleet);
}

order_preparation order_registry::prepare(
    std::string const& service, std::string const& key, core::duration horizon)
{
    std::lock_guard const lock{m_mutex};
    auto const now = clock_now();
    auto const range = core::orders::range_of(service, key);
    auto const owner = core::orders::owner_of(*m_fleet, service, range);
    order_preparation prepared{
        .m_is_owner = m_history && service == m_service && owner &&
                      owner->m_name == m_name};
    if (!prepared.m_is_owner)
    {
        return prepared;
    }
    prepared.m_has_record = m_records.contains(key);
    prepared.m_age = age_of(key, horizon);
    prepared.m_previous_owners = m_history->previous_owners(range, now);
    if (now < m_history->incomplete_until())
    {
        prepared.m_age = core::orders::key_age::too_old;
    }
    return prepared;
}

core::orders::begin_decision order_registry::begin(
    core::orders::order_request const& request)
{
    std::lock_guard const lock{m_mutex};
    return m_records.begin(request, clock_now());
}

void order_registry::finish(
    std::string const& key, core::orders::stored_answer answer)
{
    std::lock_guard const lock{m_mutex};
    m_records.finish(key, std::move(answer), clock_now());
}

void order_registry::discard(std::string const& key)
{
    std::lock_guard const lock{m_mutex};
    m_records.discard(key);
}

void order_registry::mark_outcome_unknown(std::string const& key)
{
    std::lock_guard const lock{m_mutex};
    m_records.mark_outcome_unknown(key, clock_now());
}

core::orders::look_up_result order_registry::look_up(
    std::string const& key, std::string const& attempt, core::duration horizon)
{
    std::lock_guard const lock{m_mutex};
    if (may_lack_record(key, horizon))
    {
        return core::orders::outcome_unknown{};
    }
    return m_records.look_up(key, attempt, horizon, clock_now());
}

core::orders::look_up_result order_registry::transfer_ownership(
    std::string const& key, core::duration horizon)
{
    std::lock_guard const lock{m_mutex};
    if (may_lack_record(key, horizon))
    {
        return core::orders::outcome_unknown{};
    }
    return m_records.transfer_ownership(key, horizon, clock_now());
}

core::orders::key_age order_registry::age_of(
    std::string const& key, core::duration horizon) const
{
    return core::orders::key_age_of(
        without_service(key), m_records_start, horizon, clock_now(),
        unix_now());
}

// Whether the key has no record although it may have run: an earlier process
// of this node may have run it, or its record may have expired. The missing
// record then does not prove that the key has not run.
bool order_registry::may_lack_record(
    std::string const& key, core::duration horizon) const
{
    return !m_records.contains(key) &&
           age_of(key, horizon) == core::orders::key_age::too_old;
}

Json::Value order_registry::to_json() const
{
    std::lock_guard const lock{m_mutex};
    Json::Value value{Json::objectValue};
    value["records"] = Json::UInt64{m_records.size()};
    value["bytes"] = Json::UInt64{m_records.bytes()};
    return value;
}

} // namespace hibiscustide::net
