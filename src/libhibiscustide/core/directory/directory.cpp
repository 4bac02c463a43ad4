#include <hibiscustide/core/directory/directory.hpp>

#include <algorithm>
#include <utility>

namespace hibiscustide::core::directory
{

directory::directory(
    std::shared_ptr<configuration const> config, std::vector<target> targets,
    std::set<std::string> withdrawn)
    : m_config{std::move(config)},
      m_targets{std::move(targets)},
      m_withdrawn{std::move(withdrawn)}
{
}

configuration const& directory::config() const noexcept
{
    return *m_config;
}

std::vector<target> const& directory::targets() const noexcept
{
    return m_targets;
}

bool directory::is_withdrawn(std::string_view failure_domain) const
{
    return m_withdrawn.contains(std::string{failure_domain});
}

bool directory::is_in_service(target const& entry) const
{
    return !entry.m_draining && !is_withdrawn(entry.m_failure_domain);
}

bool directory::has_known_service(target const& entry) const noexcept
{
    return m_config->m_services.empty() ||
           find_service(*m_config, entry.m_service) != nullptr;
}

target const* directory::find(std::string_view instance) const noexcept
{
    auto const it = std::lower_bound(
        m_targets.begin(), m_targets.end(), instance,
        [](target const& entry, std::string_view wanted)
        {
            return entry.m_instance < wanted;
        });
    bool const found = it != m_targets.end() && it->m_instance == instance;
    return found ? &*it : nullptr;
}

target const* directory::find_by_address(endpoint const& address) const noexcept
{
    target const* latest = nullptr;
    for (auto const& entry : m_targets)
    {
        bool const is_later = latest == nullptr ||
                              entry.m_start_time_ms > latest->m_start_time_ms;
        if (entry.m_address == address && is_later && has_known_service(entry))
        {
            latest = &entry;
        }
    }
    return latest;
}

bool operator==(directory const& left, directory const& right)
{
    return *left.m_config == *right.m_config &&
           left.m_targets == right.m_targets &&
           left.m_withdrawn == right.m_withdrawn;
}

void directory_state::grace_end::extend(time_point until) noexcept
{
    m_until = std::max(m_until, std::min(until, m_latest));
}

bool directory_state::put(configuration config)
{
    if (config.m_version <= m_config->m_version)
    {
        return false;
    }
    m_config = std::make_shared<configuration const>(std::move(config));
    return true;
}

bool directory_state::put(target entry)
{
    auto const instance = entry.m_instance;
    auto const latest = m_latest_entries.find(instance);
    bool const is_stale =
        latest != m_latest_entries.end() &&
        latest->second.m_start_time_ms == entry.m_start_time_ms &&
        latest->second.m_sequence > entry.m_sequence;
    if (is_stale)
    {
        return false;
    }
    m_latest_entries.insert_or_assign(
        instance, entry_number{
                      .m_start_time_ms = entry.m_start_time_ms,
                      .m_sequence = entry.m_sequence});
    m_removal_deadlines.erase(instance);
    // An entry that differs in its number only must not cause an update.
    entry.m_sequence = 0;
    m_targets.insert_or_assign(instance, std::move(entry));
    return true;
}

void directory_state::remove(std::string_view instance, time_point now)
{
    auto const it = m_targets.find(instance);
    if (it == m_targets.end())
    {
        return;
    }
    if (it->second.m_draining)
    {
        erase(std::string{instance});
        return;
    }
    grace_end end{
        .m_until = now + removal_grace, .m_latest = now + max_removal_grace};
    if (m_recovered_at)
    {
        end.extend(*m_recovered_at + recovery_grace);
    }
    m_removal_deadlines.emplace(it->first, end);
}

void directory_state::remove_missing(std::string_view instance, time_point now)
{
    if (m_targets.contains(instance))
    {
        auto const [it, is_new] =
            m_removal_deadlines.try_emplace(std::string{instance});
        it->second.extend(now + recovery_grace);
    }
}

// Keeps the number of the last entry while the number of removed targets is
// limited.
void directory_state::erase(std::string const& instance)
{
    m_targets.erase(instance);
    m_removal_deadlines.erase(instance);
    m_removed.push_back(instance);
    if (m_removed.size() > max_removed_entries)
    {
        if (!m_targets.contains(m_removed.front()))
        {
            m_latest_entries.erase(m_removed.front());
        }
        m_removed.pop_front();
    }
}

void directory_state::withdraw(std::string const& failure_domain)
{
    m_restore_deadlines.erase(failure_domain);
    m_withdrawn.insert(failure_domain);
}

void directory_state::restore(std::string const& failure_domain)
{
    m_restore_deadlines.erase(failure_domain);
    m_withdrawn.erase(failure_domain);
}

void directory_state::restore_missing(
    std::string const& failure_domain, time_point now)
{
    if (m_withdrawn.contains(failure_domain))
    {
        m_restore_deadlines.insert_or_assign(
            failure_domain, grace_end{.m_until = now + recovery_grace});
    }
}

bool directory_state::on_service_recovered(
    time_point failed_at, time_point now) noexcept
{
    if (now - failed_at > max_failure_age)
    {
        return false;
    }
    m_recovered_at = now;
    return true;
}

void directory_state::on_peer_reported_recovery(time_point now) noexcept
{
    if (!m_recovered_at || now - *m_recovered_at > recovery_grace)
    {
        m_recovered_at = now;
    }
}

void directory_state::on_service_restored(time_point now)
{
    m_recovered_at = now;
    for (auto* const each : {&m_removal_deadlines, &m_restore_deadlines})
    {
        for (auto& [name, end] : *each)
        {
            end.extend(now + recovery_grace);
        }
    }
}

std::optional<time_point> directory_state::expire(time_point now)
{
    std::optional<time_point> next;
    std::vector<std::string> removed;
    for (auto const& [instance, end] : m_removal_deadlines)
    {
        if (end.m_until <= now)
        {
            removed.push_back(instance);
            continue;
        }
        next = std::min(next.value_or(end.m_until), end.m_until);
    }
    for (auto const& instance : removed)
    {
        erase(instance);
    }
    for (auto it = m_restore_deadlines.begin();
         it != m_restore_deadlines.end();)
    {
        if (it->second.m_until <= now)
        {
            m_withdrawn.erase(it->first);
            it = m_restore_deadlines.erase(it);
            continue;
        }
        next = std::min(next.value_or(it->second.m_until), it->second.m_until);
        ++it;
    }
    return next;
}

std::uint64_t directory_state::version() const noexcept
{
    return m_config->m_version;
}

directory_ptr directory_state::snapshot() const
{
    std::vector<target> targets;
    targets.reserve(m_targets.size());
    for (auto const& [instance, entry] : m_targets)
    {
        targets.push_back(entry);
    }
    return std::make_shared<directory const>(
        m_config, std::move(targets), m_withdrawn);
}

} // namespace hibiscustide::core::directory
