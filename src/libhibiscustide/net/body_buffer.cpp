#include "net/body_buffer.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace hibiscustide::net
{

body_buffer::body_buffer(body_buffer_options const& options)
    : m_options{options}
{
}

std::shared_ptr<body_buffer> body_buffer::make_complete(std::string body)
{
    auto buffer = std::make_shared<body_buffer>(
        body_buffer_options{.m_length = body.size()});
    buffer->m_bytes = std::move(body);
    buffer->m_state = state::complete;
    return buffer;
}

void body_buffer::append(std::string_view bytes)
{
    if (m_state != state::incomplete)
    {
        return;
    }
    m_bytes.append(bytes);
    notify(m_on_change);
}

void body_buffer::finish()
{
    if (m_state != state::incomplete)
    {
        return;
    }
    m_state = state::complete;
    m_options.m_length = size();
    notify(m_on_change);
}

void body_buffer::fail(status why)
{
    if (m_state != state::incomplete)
    {
        return;
    }
    m_state = state::failed;
    m_failure = why;
    notify(m_on_change);
}

std::size_t body_buffer::room() const noexcept
{
    return m_options.m_capacity > m_bytes.size()
               ? m_options.m_capacity - m_bytes.size()
               : 0;
}

void body_buffer::on_room(std::function<void()> handler)
{
    m_on_room = std::move(handler);
}

bool body_buffer::is_wanted() const noexcept
{
    return m_wanted;
}

bool body_buffer::is_abandoned() const noexcept
{
    return m_abandoned;
}

void body_buffer::want()
{
    if (!std::exchange(m_wanted, true))
    {
        notify(m_on_room);
    }
}

std::string_view body_buffer::read(
    std::uint64_t position, std::size_t max) const noexcept
{
    if (position < m_start || position >= size())
    {
        return {};
    }
    std::string_view const bytes{m_bytes};
    return bytes.substr(static_cast<std::size_t>(position - m_start), max);
}

void body_buffer::release_before(std::uint64_t position)
{
    auto const end = std::min(position, size());
    bool const is_needed_for_restart =
        m_options.m_keep_for_restart &&
        (room() > 0 || m_state == state::complete);
    if (end <= m_start || is_needed_for_restart)
    {
        return;
    }
    m_bytes.erase(0, static_cast<std::size_t>(end - m_start));
    m_start = end;
    notify(m_on_room);
}

void body_buffer::abandon()
{
    if (!std::exchange(m_abandoned, true))
    {
        notify(m_on_room);
    }
}

bool body_buffer::can_restart() const noexcept
{
    return m_start == 0 && m_state != state::failed;
}

body_buffer::state body_buffer::current_state() const noexcept
{
    return m_state;
}

status body_buffer::failure() const noexcept
{
    return m_failure;
}

std::uint64_t body_buffer::freed() const noexcept
{
    return m_start;
}

std::uint64_t body_buffer::size() const noexcept
{
    return m_start + m_bytes.size();
}

std::optional<std::uint64_t> body_buffer::length() const noexcept
{
    return m_options.m_length;
}

void body_buffer::on_change(std::function<void()> handler)
{
    m_on_change = std::move(handler);
}

// The copy keeps the handler alive if it replaces itself.
void body_buffer::notify(std::function<void()> const& handler) const
{
    if (auto const current = handler)
    {
        current();
    }
}

} // namespace hibiscustide::net
