#include "net/mesh/traffic_thread.hpp"

#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"
#include "net/replies.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using std::chrono::milliseconds;

// Bytes per second of a link of 1 Mbit/s.
constexpr double bytes_per_s_of_1_mbps = 125'000;

// Maximum number of concurrent requests on one caller's connection.
constexpr std::size_t max_pipelined = 64;

// Shares of the retry ratio and of the retry slack that a node uses. The rest
// is a reserve: the calls that a retried request makes also count as retries,
// and a restarted node has lost the record of its earlier retries.
constexpr double retry_budget_share = 0.5;
constexpr double retry_slack_share = 0.4;

std::uint64_t random_incarnation()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> distribution{1, UINT64_MAX};
    return distribution(device);
}

} // namespace

traffic_thread::traffic_thread(
    core::config::mesh_settings const& settings, protocol const& wire_protocol,
    metrics& counts, traffic_handlers handlers)
    : m_work_guard{asio::make_work_guard(m_context)},
      m_settings{settings},
      m_handlers{std::move(handlers)},
      m_incarnation{random_incarnation()},
      m_nodes{
          m_context,
          {.m_address = settings.m_peer_listen.m_address,
           .m_failure_domain = settings.m_failure_domain,
           .m_port = settings.m_peer_listen.m_port,
           .m_incarnation = m_incarnation,
           .m_on_changes = m_handlers.m_on_changes}},
      m_gate{
          m_context,
          {.m_target = settings.m_target,
           .m_probe_interval = settings.m_probe_interval,
           .m_service = settings.m_service,
           .m_cold_overage = settings.m_cold_overage,
           .m_cold_slack = settings.m_cold_slack,
           .m_address_reuse = settings.m_address_reuse},
          wire_protocol,
          m_poison_detector,
          counts},
      m_quotas{
          m_context,
          {.m_quota = settings.m_quota,
           .m_address = settings.m_peer_listen.m_address,
           .m_send =
               [this](std::string const& address, quota_message const& value)
           {
               m_status_exchange.send(address, value);
           }},
          counts},
      m_dispatcher{
          m_context,
          {.m_retry_budget =
               {.m_ratio = settings.m_retry_ratio * retry_budget_share,
                .m_window = settings.m_retry_window,
                .m_slack = settings.m_retry_slack * retry_slack_share}},
          wire_protocol,
          m_nodes,
          m_gate,
          m_quotas,
          counts},
      m_peer_server{
          m_context,
          {.m_listen = settings.m_peer_listen,
           .m_hello =
               {.m_node = settings.m_peer_listen.m_address,
                .m_incarnation = m_incarnation},
           .m_changes_after = m_handlers.m_changes_after,
           .m_link_rate = settings.m_link_mbps * bytes_per_s_of_1_mbps},
          m_gate},
      m_status_exchange{
          m_context,
          {.m_listen = settings.m_peer_listen,
           .m_incarnation = m_incarnation,
           .m_report =
               [this]
           {
               return m_gate.report();
           },
           .m_crashes =
               [this]
           {
               return m_poison_detector.current_update(clock_now());
           },
           .m_on_status =
               [this](std::string const& address, node_status const& status)
           {
               on_status(address, status);
           },
           .m_on_quota_message =
               [this](std::string const& address, quota_message const& value)
           {
               m_quotas.on_message(address, value);
           }},
          m_nodes},
      m_random{m_incarnation}
{
    m_gate.on_change(
        [this]
        {
            m_status_exchange.on_report_changed();
        });
    m_gate.on_crash(
        [this]
        {
            m_status_exchange.send_to_all();
        });
}

traffic_thread::~traffic_thread()
{
    stop();
}

std::optional<std::string> traffic_thread::start()
{
    http_server_options const options{
        .m_listen = m_settings.m_caller_listen,
        .m_max_pipelined = max_pipelined};
    m_caller_server = std::make_shared<http_server>(
        m_context, options,
        [this](
            http_request& request, body_buffer_ptr const& body,
            std::shared_ptr<cancel_scope> const& scope)
        {
            return m_dispatcher.serve(request, body, scope);
        },
        malformed_reply);
    auto failure = m_caller_server->start();
    failure = failure ? failure : m_peer_server.start();
    failure = failure ? failure : m_status_exchange.start();
    if (failure)
    {
        return failure;
    }
    m_gate.start();
    m_thread = std::thread{[this]
                           {
                               run_guarded(m_context);
                           }};
    return std::nullopt;
}

void traffic_thread::update(directory_update const& update)
{
    asio::post(
        m_context,
        [this, update]
        {
            apply(update);
        });
}

void traffic_thread::set_service(std::string const& name)
{
    asio::post(
        m_context,
        [this, name]
        {
            m_gate.set_service(name);
        });
}

void traffic_thread::request_changes_from_seeds()
{
    asio::post(
        m_context,
        [this]
        {
            request_changes_from_next_seed("", {});
            // Makes this node known to the seeds, which then send their status.
            m_status_exchange.send_to_all();
        });
}

void traffic_thread::request_changes_from_seeds(
    std::size_t count, std::string const& excluded,
    core::directory::published_state const& after)
{
    asio::post(
        m_context,
        [this, count, excluded, after]
        {
            for (std::size_t n = 0; n < count; ++n)
            {
                request_changes_from_next_seed(excluded, after);
            }
        });
}

// At first one seed is asked at a time, because each one sends all items.
void traffic_thread::request_changes_from_next_seed(
    std::string const& excluded, core::directory::published_state const& after)
{
    auto const& seeds = m_settings.m_seeds;
    for (std::size_t n = 0; n < seeds.size(); ++n)
    {
        auto const& seed = seeds[m_next_seed++ % seeds.size()];
        if (seed.m_address == excluded)
        {
            continue;
        }
        auto const node = m_nodes.find_or_add(seed.m_address);
        if (!node->m_is_self)
        {
            node->m_link->request_changes(after);
            return;
        }
    }
}

void traffic_thread::reply(
    std::function<void(core::directory::item_changes)> const& send_reply,
    core::directory::item_changes changes)
{
    asio::post(
        m_context,
        [send_reply, changes = std::move(changes)]
        {
            send_reply(changes);
        });
}

void traffic_thread::begin_drain(core::admission::stop_window const& stop)
{
    asio::post(
        m_context,
        [this, stop]
        {
            m_dispatcher.begin_stop(stop);
            m_gate.begin_drain();
            m_status_exchange.send_to_all();
            m_caller_server->begin_drain();
        });
}

void traffic_thread::end_running()
{
    asio::post(
        m_context,
        [this]
        {
            m_gate.end_running();
        });
}

void traffic_thread::stop_accepting()
{
    asio::post(
        m_context,
        [this]
        {
            m_caller_server->stop_accepting();
        });
}

void traffic_thread::close_idle()
{
    asio::post(
        m_context,
        [this]
        {
            m_caller_server->close_idle();
        });
}

awaitable<std::size_t> traffic_thread::active_count()
{
    auto const count = [this]() -> awaitable<std::size_t>
    {
        co_return m_caller_server->busy_connections() +
            m_caller_server->closing_connections() + m_gate.active_requests() +
            m_peer_server.unsent_results();
    };
    co_return co_await asio::co_spawn(m_context, count(), asio::use_awaitable);
}

awaitable<Json::Value> traffic_thread::state()
{
    auto const describe = [this]() -> awaitable<Json::Value>
    {
        Json::Value value{Json::objectValue};
        value["connections"] =
            Json::UInt64{m_caller_server->open_connections()};
        value["calls"] = Json::UInt64{m_dispatcher.active_calls()};
        value["gate"] = m_gate.to_json();
        value["quotas"] = m_quotas.to_json();
        value["nodes"] = m_nodes.to_json();
        co_return value;
    };
    co_return co_await asio::co_spawn(
        m_context, describe(), asio::use_awaitable);
}

void traffic_thread::stop()
{
    m_context.stop();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void traffic_thread::on_status(
    std::string const& address, node_status const& status)
{
    if (status.m_incarnation == m_incarnation)
    {
        return;
    }
    auto const now = clock_now();
    auto const previous = m_nodes.find(address);
    auto const previous_share =
        previous ? previous->m_view.report().m_measured_share_percent : 0;
    m_nodes.on_status(address, status, now);
    m_quotas.on_status(address, status.m_target.m_open);
    if (status.m_target.m_measured_share_percent != previous_share)
    {
        m_gate.set_share_of_peers(m_nodes.measured_share_of(m_gate.service()));
    }
    m_poison_detector.on_update(status.m_incarnation, status.m_crashes, now);
    auto const node = m_nodes.find(address);
    m_handlers.m_on_status(address, node && node->m_same_domain, status);
    request_missing_changes();
}

// Requests changes from one of the nodes with a later state: all items if its
// era is newer.
void traffic_thread::request_missing_changes()
{
    std::vector<node_entry_ptr> newer;
    std::vector<core::directory::change_requests::source> sources;
    for (auto const& [address, node] : m_nodes.all())
    {
        if (!node->m_is_self && node->m_published > m_published)
        {
            newer.push_back(node);
            sources.push_back({.m_same_domain = node->m_same_domain});
        }
    }
    auto const chosen =
        m_change_requests.next(sources, m_published, m_random(), clock_now());
    if (chosen)
    {
        newer.at(*chosen)->m_link->request_changes(m_published);
    }
}

void traffic_thread::apply(directory_update const& update)
{
    m_published = update.m_published;
    m_nodes.set_directory(update.m_directory);
    m_gate.set_directory(update.m_directory);
    m_quotas.set_directory(update.m_directory);
    m_dispatcher.set_directory(update.m_directory);
    auto const& limits = update.m_directory->config().m_limits;
    m_caller_server->set_limits(
        {.m_max_header_bytes = limits.m_max_header_bytes,
         .m_max_body_bytes = limits.m_max_body_bytes},
        limits.m_idle_timeout, limits.m_header_timeout);
    m_status_exchange.set_directory_state(
        update.m_published, update.m_is_reader, update.m_recovered);
}

} // namespace hibiscustide::net::mesh
