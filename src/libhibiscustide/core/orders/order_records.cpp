#include <hibiscustide/core/orders/order_records.hpp>

#include <utility>

namespace hibiscustide::core::orders
{

namespace
{

// Bytes that a record takes in addition to its key and its answer.
constexpr std::size_t record_overhead = 192;

// The key under which a void attempt is recorded. No order has this key: keys
// of orders come from a header and contain no line break.
std::string attempt_key(std::string const& attempt)
{
    return "attempt\n" + attempt;
}

} // namespace

order_records::order_records(order_records_options const& options)
    : m_options{options}
{
}

bool order_records::contains(std::string const& key) const
{
    return m_records.contains(key);
}

begin_decision order_records::begin(
    order_request const& request, time_point now)
{
    expire(now);
    if (m_records.contains(attempt_key(request.m_attempt)))
    {
        return not_allowed{.m_reason = reason::key_voided};
    }
    auto const& key = request.m_key;
    auto const it = m_records.find(key);
    if (it == m_records.end())
    {
        if (!has_room_for(key))
        {
            return not_allowed{.m_reason = reason::records_full};
        }
        insert(
            key, {.m_state = running_state{},
                  .m_fingerprint = request.m_fingerprint,
                  .m_horizon = request.m_horizon,
                  .m_changed_at = now});
        return may_start{};
    }
    auto const& found = it->second;
    if (std::holds_alternative<void_state>(found.m_state))
    {
        return not_allowed{.m_reason = reason::key_voided};
    }
    if (found.m_fingerprint != request.m_fingerprint)
    {
        return not_allowed{.m_reason = reason::key_conflict};
    }
    if (std::holds_alternative<running_state>(found.m_state))
    {
        return still_running{};
    }
    if (auto const* const answer = std::get_if<stored_answer>(&found.m_state))
    {
        return already_run{.m_answer = *answer};
    }
    return outcome_unknown{};
}

void order_records::finish(
    std::string const& key, stored_answer answer, time_point now)
{
    auto const it = m_records.find(key);
    if (it == m_records.end())
    {
        return;
    }
    auto const size = answer.m_body.size() + answer.m_content_type.size();
    if (m_bytes + size > m_options.m_max_bytes)
    {
        set_state(it->second, unknown_state{}, now, key);
        return;
    }
    set_state(it->second, std::move(answer), now, key);
}

void order_records::discard(std::string const& key)
{
    auto const it = m_records.find(key);
    if (it != m_records.end())
    {
        erase(it);
    }
}

void order_records::mark_outcome_unknown(std::string const& key, time_point now)
{
    auto const it = m_records.find(key);
    if (it != m_records.end())
    {
        set_state(it->second, unknown_state{}, now, key);
    }
}

look_up_result order_records::look_up(
    std::string const& key, std::string const& attempt, duration horizon,
    time_point now)
{
    expire(now);
    auto const it = m_records.find(key);
    if (it != m_records.end())
    {
        return result_of(it->second);
    }
    return insert_void(attempt_key(attempt), horizon, now);
}

look_up_result order_records::transfer_ownership(
    std::string const& key, duration horizon, time_point now)
{
    expire(now);
    auto const it = m_records.find(key);
    if (it != m_records.end())
    {
        return result_of(it->second);
    }
    return insert_void(key, horizon, now);
}

void order_records::expire(time_point now)
{
    while (!m_expiries.empty() && m_expiries.front().m_at <= now)
    {
        auto const it = m_records.find(m_expiries.front().m_key);
        m_expiries.pop_front();
        bool const is_expired =
            it != m_records.end() &&
            !std::holds_alternative<running_state>(it->second.m_state) &&
            it->second.m_changed_at + it->second.m_horizon <= now;
        if (is_expired)
        {
            erase(it);
        }
    }
}

std::size_t order_records::size() const noexcept
{
    return m_records.size();
}

std::size_t order_records::bytes() const noexcept
{
    return m_bytes;
}

bool order_records::has_room_for(std::string const& key) const noexcept
{
    return m_records.size() < m_options.m_max_records &&
           m_bytes + key.size() + record_overhead <= m_options.m_max_bytes;
}

void order_records::insert(std::string const& key, record value)
{
    m_bytes += bytes_of(key, value);
    m_records.emplace(key, std::move(value));
}

void order_records::set_state(
    record& value, state next, time_point now, std::string const& key)
{
    m_bytes -= bytes_of(key, value);
    value.m_state = std::move(next);
    value.m_changed_at = now;
    m_bytes += bytes_of(key, value);
    m_expiries.push_back({.m_at = now + value.m_horizon, .m_key = key});
}

void order_records::erase(record_map::iterator it)
{
    m_bytes -= bytes_of(it->first, it->second);
    m_records.erase(it);
}

// Without room for the record the attempt or the order could still run here, so
// the result is outcome_unknown, not not_allowed.
look_up_result order_records::insert_void(
    std::string const& key, duration horizon, time_point now)
{
    if (m_records.contains(key))
    {
        return not_allowed{.m_reason = reason::key_voided};
    }
    if (!has_room_for(key))
    {
        return outcome_unknown{};
    }
    insert(key, {.m_state = running_state{}, .m_horizon = horizon});
    set_state(m_records.find(key)->second, void_state{}, now, key);
    return not_allowed{.m_reason = reason::key_voided};
}

look_up_result order_records::result_of(record const& found)
{
    if (std::holds_alternative<running_state>(found.m_state))
    {
        return still_running{};
    }
    if (auto const* const answer = std::get_if<stored_answer>(&found.m_state))
    {
        return already_run{.m_answer = *answer};
    }
    if (std::holds_alternative<void_state>(found.m_state))
    {
        return not_allowed{.m_reason = reason::key_voided};
    }
    return outcome_unknown{};
}

std::size_t order_records::bytes_of(
    std::string const& key, record const& value) noexcept
{
    std::size_t size = record_overhead + key.size();
    if (auto const* const answer = std::get_if<stored_answer>(&value.m_state))
    {
        size += answer->m_body.size() + answer->m_content_type.size();
    }
    return size;
}

} // namespace hibiscustide::core::orders
