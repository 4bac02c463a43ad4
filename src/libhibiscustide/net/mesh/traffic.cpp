#include "net/mesh/traffic.hpp"

#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/clock.hpp"
#include "net/replies.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using std::chrono::milliseconds;

// Requests of one connection that are under way at once.
constexpr std::size_t max_pipelined = 64;

// What a node uses of its share of second attempts: calls that a repeated
// request makes count too, and a node that starts anew has forgotten what it
// spent.
constexpr double used_retry_share = 0.5;
constexpr double used_slack_share = 0.4;

// A peer that was asked for changes has this long before another is.
constexpr milliseconds ask_interval{150};

std::uint64_t draw_incarnation()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> any{1, UINT64_MAX};
    return any(device);
}

} // namespace

traffic::traffic(
    core::config::mesh_settings const& settings, protocol const& wire,
    metrics& counts, traffic_handlers handlers)
    : m_work{asio::make_work_guard(m_context)},
      m_settings{settings},
      m_handlers{std::move(handlers)},
      m_incarnation{draw_incarnation()},
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
          wire,
          m_suspects,
          counts},
      m_dispatcher{
          m_context,
          {.m_service = settings.m_service,
           .m_budget =
               {.m_ratio = settings.m_retry_ratio * used_retry_share,
                .m_window = settings.m_retry_window,
                .m_slack = settings.m_retry_slack * used_slack_share}},
          wire,
          m_nodes,
          m_gate,
          counts},
      m_peers{
          m_context,
          {.m_listen = settings.m_peer_listen,
           .m_hello =
               {.m_node = settings.m_peer_listen.m_address,
                .m_incarnation = m_incarnation},
           .m_changes_after = m_handlers.m_changes_after},
          m_gate},
      m_status{
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
               return m_suspects.current_update(clock_now());
           },
           .m_on_status =
               [this](std::string const& address, node_status const& status)
           {
               on_status(address, status);
           }},
          m_nodes}
{
    m_gate.on_change(
        [this]
        {
            m_status.on_report_changed();
        });
    m_gate.on_crash(
        [this]
        {
            m_status.send_to_all();
        });
}

traffic::~traffic()
{
    stop();
}

std::optional<std::string> traffic::start()
{
    http_server_options const options{
        .m_listen = m_settings.m_caller_listen,
        .m_max_pipelined = max_pipelined};
    m_callers = std::make_shared<http_server>(
        m_context, options,
        [this](
            http_request& request, std::shared_ptr<cancel_scope> const& scope)
        {
            return m_dispatcher.serve(request, scope);
        },
        malformed_reply);
    auto failure = m_callers->start();
    failure = failure ? failure : m_peers.start();
    failure = failure ? failure : m_status.start();
    if (failure)
    {
        return failure;
    }
    m_gate.start();
    m_thread = std::thread{[this]
                           {
                               m_context.run();
                           }};
    return std::nullopt;
}

void traffic::update(directory_update const& update)
{
    asio::post(
        m_context,
        [this, update]
        {
            apply(update);
        });
}

void traffic::ask_seeds()
{
    asio::post(
        m_context,
        [this]
        {
            for (auto const& seed : m_settings.m_seeds)
            {
                auto const node = m_nodes.meet(seed.m_address);
                if (!node->m_is_self)
                {
                    node->m_link->request_changes(0);
                }
            }
            // So that they go on telling this node what they know.
            m_status.send_to_all();
        });
}

void traffic::reply(
    std::function<void(core::directory::item_changes)> const& to,
    core::directory::item_changes changes)
{
    asio::post(
        m_context,
        [to, changes = std::move(changes)]
        {
            to(changes);
        });
}

void traffic::begin_leaving()
{
    asio::post(
        m_context,
        [this]
        {
            m_gate.begin_leaving();
            m_status.send_to_all();
            m_callers->begin_drain();
        });
}

void traffic::stop_accepting()
{
    asio::post(
        m_context,
        [this]
        {
            m_callers->stop_accepting();
        });
}

void traffic::close_idle()
{
    asio::post(
        m_context,
        [this]
        {
            m_callers->close_idle();
        });
}

awaitable<std::size_t> traffic::busy()
{
    auto const count = [this]() -> awaitable<std::size_t>
    {
        co_return m_callers->busy_connections() + m_gate.busy();
    };
    co_return co_await asio::co_spawn(m_context, count(), asio::use_awaitable);
}

awaitable<Json::Value> traffic::state()
{
    auto const describe = [this]() -> awaitable<Json::Value>
    {
        Json::Value value{Json::objectValue};
        value["connections"] = Json::UInt64{m_callers->open_connections()};
        value["calls"] = Json::UInt64{m_dispatcher.busy()};
        value["gate"] = m_gate.to_json();
        value["nodes"] = m_nodes.to_json();
        co_return value;
    };
    co_return co_await asio::co_spawn(
        m_context, describe(), asio::use_awaitable);
}

void traffic::stop()
{
    m_context.stop();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void traffic::on_status(std::string const& address, node_status const& status)
{
    if (status.m_incarnation == m_incarnation)
    {
        return;
    }
    auto const now = clock_now();
    m_nodes.on_status(address, status, now);
    m_suspects.on_update(status.m_incarnation, status.m_crashes, now);
    auto const node = m_nodes.find(address);
    m_handlers.m_on_status(address, node && node->m_same_domain, status);
    ask_for_changes();
}

// Asks a node that knows more, one of the own failure domain if it can be.
void traffic::ask_for_changes()
{
    auto const now = clock_now();
    if (now - m_asked_at < ask_interval)
    {
        return;
    }
    neighbour_ptr best;
    for (auto const& [address, node] : m_nodes.all())
    {
        bool const knows_more =
            !node->m_is_self && node->m_revision > m_revision;
        if (knows_more && (!best || node->m_same_domain))
        {
            best = node;
        }
    }
    if (best)
    {
        m_asked_at = now;
        best->m_link->request_changes(m_revision);
    }
}

void traffic::apply(directory_update const& update)
{
    m_revision = update.m_revision;
    m_nodes.change_directory(update.m_directory);
    m_gate.change_directory(update.m_directory);
    m_dispatcher.change_directory(update.m_directory);
    auto const& limits = update.m_directory->config().m_limits;
    m_callers->set_limits(
        {.m_max_header_bytes = limits.m_max_header_bytes,
         .m_max_body_bytes = limits.m_max_body_bytes},
        limits.m_idle_timeout, limits.m_header_timeout);
    m_status.set_directory_state(
        update.m_revision, update.m_reads, update.m_recovered);
}

} // namespace hibiscustide::net::mesh
