#include "net/mesh/quota_client.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using core::quota::quota_grant;
using core::quota::quota_refused;
using core::quota::quota_request;
using core::quota::quota_step;
using core::quota::quota_wait;

constexpr std::chrono::milliseconds update_interval{500};

// Number of nodes that are asked about nodes out of reach. Three of them are in
// three failure domains with a high probability.
constexpr std::size_t nodes_asked = 3;

// Retry-After of a request that could not wait for its grant.
constexpr std::chrono::milliseconds late_retry_after{100};

} // namespace

quota_client::quota_client(
    asio::io_context& context, quota_client_options options, metrics& counts)
    : m_context{context},
      m_options{std::move(options)},
      m_counts{counts},
      m_fleet{m_options.m_address},
      m_owner{m_options.m_quota, m_fleet},
      m_share{m_options.m_quota, m_fleet},
      m_random{std::random_device{}()},
      m_update_timer{context}
{
}

void quota_client::set_directory(core::directory::directory_ptr const& current)
{
    auto const now = clock_now();
    std::set<std::string> addresses;
    for (auto const& target : current->targets())
    {
        addresses.insert(target.m_address.m_address);
    }
    m_fleet.set_nodes({addresses.begin(), addresses.end()}, now);
    auto const& config = current->config();
    if (config.m_version != m_config_version)
    {
        m_config_version = config.m_version;
        m_limits.clear();
        for (auto const& each : config.m_organisations)
        {
            if (each.m_rate > 0)
            {
                m_limits[core::quota::make_organisation_id(each.m_name)] = {
                    .m_rate = each.m_rate, .m_burst = each.m_burst};
            }
        }
    }
    update();
    if (!m_limits.empty() && !std::exchange(m_is_updating, true))
    {
        spawn_loop(
            m_context, "quotas",
            [this]
            {
                return update_loop();
            });
    }
}

void quota_client::on_status(std::string const& address, bool is_open)
{
    m_fleet.on_status(address, is_open, clock_now());
}

// Handles the messages of the node with an address.
struct quota_client::message_visitor
{
    void operator()(quota_request const& request) const
    {
        m_client.m_options.m_send(
            m_address,
            m_client.m_owner.on_request(
                m_address, request, m_client.limit_of(request.m_organisation),
                clock_now()));
    }

    void operator()(quota_grant const& grant) const
    {
        auto step = m_client.m_share.on_grant(m_address, grant, clock_now());
        auto const it = m_client.m_waiters.find(grant.m_sequence);
        if (step && it != m_client.m_waiters.end())
        {
            it->second->m_step = std::move(step);
            it->second->m_timer.cancel();
        }
    }

    void operator()(reach_request const& request) const
    {
        m_client.m_options.m_send(
            m_address, reach_reply{
                           .m_heard = m_client.m_fleet.heard_of(
                               request.m_nodes, clock_now())});
    }

    void operator()(reach_reply const& reply) const
    {
        m_client.m_fleet.on_heard_by_other(reply.m_heard, clock_now());
    }

    quota_client& m_client;
    std::string const& m_address;
};

void quota_client::on_message(
    std::string const& address, quota_message const& received)
{
    std::visit(
        message_visitor{.m_client = *this, .m_address = address}, received);
}

awaitable<quota_decision> quota_client::acquire(
    core::directory::organisation const& organisation,
    core::time_point deadline)
{
    auto const id = core::quota::make_organisation_id(organisation.m_name);
    core::quota::quota_limit const limit{
        .m_rate = organisation.m_rate, .m_burst = organisation.m_burst};
    auto step = answer_own(m_share.acquire(id, limit, clock_now()));
    while (auto const* const wait = std::get_if<quota_wait>(&step))
    {
        auto const sequence = wait->m_message.m_sequence;
        auto const until = std::min(wait->m_until, deadline);
        auto const waiting = std::make_shared<waiter>(m_context);
        m_waiters[sequence] = waiting;
        m_options.m_send(wait->m_to, wait->m_message);
        waiting->m_timer.expires_at(until);
        co_await waiting->m_timer.async_wait(no_throw);
        m_waiters.erase(sequence);
        auto const now = clock_now();
        if (waiting->m_step)
        {
            step = answer_own(std::move(*waiting->m_step));
        }
        else if (now >= deadline)
        {
            m_share.cancel(sequence);
            step = quota_refused{.m_retry_after = late_retry_after};
        }
        else
        {
            step = answer_own(m_share.on_timeout(sequence, now));
        }
    }
    count();
    if (auto const* const granted =
            std::get_if<core::quota::quota_granted>(&step))
    {
        quota_token const token{.m_organisation = id, .m_granted = *granted};
        co_return token;
    }
    co_return std::get<quota_refused>(step);
}

void quota_client::give_back(quota_token const& token)
{
    m_share.give_back(token.m_organisation, token.m_granted, clock_now());
    count();
}

Json::Value quota_client::to_json() const
{
    auto const now = clock_now();
    Json::Value value{Json::objectValue};
    value["organisations"] = Json::UInt64{m_limits.size()};
    value["used_here"] = Json::UInt64{m_share.size()};
    value["granted_here"] = Json::UInt64{m_owner.size()};
    value["waiting"] = Json::UInt64{m_share.waiting()};
    value["nodes"] = Json::UInt64{m_fleet.size(now)};
    value["reachable_share"] = m_fleet.reachable_share(now);
    return value;
}

awaitable<void> quota_client::update_loop()
{
    while (!m_limits.empty())
    {
        update();
        ask_about_lost_nodes();
        m_update_timer.expires_after(update_interval);
        co_await m_update_timer.async_wait(no_throw);
    }
    update();
    m_is_updating = false;
}

void quota_client::update()
{
    auto const limit = [this](core::quota::organisation_id organisation)
    {
        return limit_of(organisation);
    };
    auto const now = clock_now();
    m_owner.update(limit, now);
    m_share.update(limit, now);
    count();
}

void quota_client::ask_about_lost_nodes()
{
    auto const now = clock_now();
    reach_request const request{.m_nodes = m_fleet.lost_nodes(now)};
    if (request.m_nodes.empty())
    {
        return;
    }
    for (auto const& address :
         m_fleet.nodes_in_reach(nodes_asked, m_random(), now))
    {
        m_options.m_send(address, request);
    }
}

core::quota::quota_limit quota_client::limit_of(
    core::quota::organisation_id organisation) const
{
    auto const it = m_limits.find(organisation);
    return it == m_limits.end() ? core::quota::quota_limit{} : it->second;
}

// Answers a request to this node itself without a datagram.
quota_step quota_client::answer_own(quota_step step)
{
    while (auto const* const wait = std::get_if<quota_wait>(&step))
    {
        if (wait->m_to != m_options.m_address)
        {
            break;
        }
        auto const now = clock_now();
        auto const request = wait->m_message;
        auto const grant = m_owner.on_request(
            m_options.m_address, request, limit_of(request.m_organisation),
            now);
        auto next = m_share.on_grant(m_options.m_address, grant, now);
        if (!next)
        {
            break;
        }
        step = std::move(*next);
    }
    return step;
}

// Adds what has changed to the metrics.
void quota_client::count()
{
    auto const& now = m_share.counts();
    m_counts.add(counter::quota_granted, now.m_granted - m_counted.m_granted);
    m_counts.add(counter::quota_expired, now.m_expired - m_counted.m_expired);
    m_counts.add(
        counter::quota_fallback, now.m_fallback - m_counted.m_fallback);
    m_counts.add(
        counter::quota_returned, now.m_returned - m_counted.m_returned);
    m_counts.add(counter::quota_refused, now.m_refused - m_counted.m_refused);
    m_counted = now;
}

} // namespace hibiscustide::net::mesh
