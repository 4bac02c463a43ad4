#include "traffic.hpp"

#include <algorithm>
#include <utility>

namespace review
{

namespace
{

constexpr milliseconds restart_delay{700};
constexpr milliseconds watch_interval{5};

// The rules excuse an end within a second of a disruption on the machine.
constexpr milliseconds planned_stop_excuse{1'000};

} // namespace

client_group::client_group(
    endpoint node, milliseconds interval, request_maker make, recorder& record,
    answer_check check)
    : m_node{std::move(node)},
      m_interval{interval},
      m_make{std::move(make)},
      m_record{record},
      m_check{std::move(check)}
{
}

client_group::~client_group()
{
    stop();
}

void client_group::start()
{
    m_loop = std::thread{[this]
                         {
                             send_loop();
                         }};
}

void client_group::send_loop()
{
    auto next = steady::now();
    while (!m_stopping)
    {
        auto const sent = m_make(m_sent++);
        m_record.line(
            "sent id=" + sent.m_id + " " + sent.m_method + " " + sent.m_path +
            " to=" + m_node.text());
        ++m_waiting;
        std::thread{[this, sent]
                    {
                        send(sent);
                        --m_waiting;
                    }}
            .detach();
        next += m_interval;
        std::this_thread::sleep_until(next);
    }
}

void client_group::send(request const& sent)
{
    auto const got = exchange(m_node, sent);
    m_succeeded += got.status() == 200 ? 1 : 0;
    m_record.line("answered id=" + sent.m_id + " " + got.text());
    if (m_check)
    {
        m_check(sent, got);
    }
}

void client_group::stop()
{
    m_stopping = true;
    if (m_loop.joinable())
    {
        m_loop.join();
    }
    while (m_waiting > 0)
    {
        pause_for(watch_interval);
    }
}

int client_group::sent() const
{
    return m_sent;
}

int client_group::succeeded() const
{
    return m_succeeded;
}

supervisor::supervisor(std::vector<node*> nodes, std::size_t memory_bytes)
    : m_memory_bytes{memory_bytes}
{
    for (auto* const each : nodes)
    {
        m_watched.push_back(std::make_unique<watched>());
        m_watched.back()->m_node = each;
    }
}

supervisor::~supervisor()
{
    stop();
}

void supervisor::start()
{
    m_loop = std::thread{[this]
                         {
                             watch_loop();
                         }};
}

void supervisor::stop()
{
    m_stopping = true;
    if (m_loop.joinable())
    {
        m_loop.join();
    }
}

int supervisor::own_ends(std::size_t n) const
{
    return m_watched[n]->m_own_ends;
}

std::size_t supervisor::peak_bytes(std::size_t n) const
{
    return m_watched[n]->m_peak;
}

void supervisor::watch_loop()
{
    while (!m_stopping)
    {
        for (auto const& each : m_watched)
        {
            check(*each);
        }
        pause_for(watch_interval);
    }
}

void supervisor::check(watched& each) const
{
    if (each.m_is_down)
    {
        if (steady::now() >= each.m_restart_at)
        {
            bool const was_planned = each.m_node->is_asked_to_stop();
            each.m_is_down = !each.m_node->start();
            each.m_excused_until = was_planned
                                       ? steady::now() + planned_stop_excuse
                                       : each.m_excused_until;
        }
        return;
    }
    auto const bytes = each.m_node->resident_bytes();
    each.m_peak = std::max<std::size_t>(each.m_peak, bytes);
    bool const is_too_large = m_memory_bytes > 0 && bytes > m_memory_bytes;
    if (is_too_large)
    {
        each.m_node->end_for_memory(bytes);
    }
    if (is_too_large || each.m_node->has_ended())
    {
        bool const is_excused = each.m_node->is_asked_to_stop() ||
                                steady::now() < each.m_excused_until;
        each.m_own_ends += is_excused ? 0 : 1;
        each.m_is_down = true;
        each.m_restart_at = steady::now() + restart_delay;
    }
}

} // namespace review
