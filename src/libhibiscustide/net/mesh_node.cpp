#include <hibiscustide/net/mesh_node.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"
#include "net/http_server.hpp"
#include "net/mesh/directory_sync.hpp"
#include "net/mesh/graceful_stop.hpp"
#include "net/mesh/protocol.hpp"
#include "net/mesh/publisher.hpp"
#include "net/mesh/traffic_thread.hpp"
#include "net/metrics.hpp"
#include "net/replies.hpp"
#include "net/stop_signal.hpp"

namespace hibiscustide::net
{

namespace
{

using core::observe::event;
using std::chrono::milliseconds;

// How long the node waits for the seeds before it reads the publishing service.
// A running seed responds at once. At the first start of the fleet, all nodes
// start within a third of a second.
constexpr milliseconds seed_timeout{120};
constexpr milliseconds first_start_seed_timeout{400};

// Other seeds with which a starting node compares the items of the first one.
constexpr std::size_t max_compared_seeds = 3;

constexpr milliseconds flush_interval{200};
constexpr std::size_t max_ready_connections = 16;

} // namespace

struct mesh_node::implementation
{
    implementation(
        core::config::mesh_settings settings, mesh::protocol wire_protocol,
        publisher_factory const& make_publisher,
        settings_reader reload_settings);

    std::optional<std::string> start();
    mesh::traffic_handlers make_handlers();
    awaitable<http_response> answer_ready(http_request& request);
    awaitable<http_response> answer_admin(http_request& request);
    awaitable<http_response> state_reply();
    awaitable<void> wait_for_signals();
    awaitable<void> flush_loop();
    awaitable<void> shut_down();
    awaitable<void> pause(core::duration span);
    void reload();
    [[nodiscard]] std::shared_ptr<http_server> make_server(
        core::endpoint const& listen,
        awaitable<http_response> (implementation::*answer)(http_request&));

    core::config::mesh_settings m_settings;
    mesh::protocol m_protocol;
    settings_reader m_reload_settings;
    asio::io_context m_context{1};
    asio::signal_set m_signals;
    metrics m_counts;
    mesh::directory_sync m_directory_sync;
    mesh::traffic_thread m_traffic;
    std::shared_ptr<http_server> m_ready_server;
    std::shared_ptr<http_server> m_admin_server;
    core::time_point m_started_at = clock_now();
    std::uint64_t m_config_version = 0;
    bool m_draining = false;
};

// Whether this node is a seed. If the settings contain no seeds, each node
// reads the publishing service itself.
static bool is_seed(core::config::mesh_settings const& settings)
{
    auto const& seeds = settings.m_seeds;
    return seeds.empty() ||
           std::any_of(
               seeds.begin(), seeds.end(),
               [&settings](core::endpoint const& seed)
               {
                   return seed.m_address == settings.m_peer_listen.m_address;
               });
}

// Number of seeds that are asked besides the first one.
static std::size_t other_seed_count(core::config::mesh_settings const& settings)
{
    auto const count = settings.m_seeds.size();
    return count == 0 ? 0 : std::min(count - 1, max_compared_seeds);
}

mesh_node::implementation::implementation(
    core::config::mesh_settings settings, mesh::protocol wire_protocol,
    publisher_factory const& make_publisher, settings_reader reload_settings)
    : m_settings{std::move(settings)},
      m_protocol{std::move(wire_protocol)},
      m_reload_settings{std::move(reload_settings)},
      m_signals{m_context},
      m_directory_sync{
          m_context,
          {.m_address = m_settings.m_peer_listen.m_address,
           .m_on_update =
               [this](mesh::directory_update const& update)
           {
               m_config_version = update.m_directory->config().m_version;
               m_traffic.update(update);
           },
           .m_query_seeds =
               [this]
           {
               m_traffic.request_changes_from_seeds();
           },
           .m_query_other_seeds =
               [this](
                   std::string const& first,
                   core::directory::published_state const& after)
           {
               m_traffic.request_changes_from_seeds(
                   other_seed_count(m_settings), first, after);
           },
           .m_other_seeds = other_seed_count(m_settings),
           .m_is_seed = is_seed(m_settings),
           .m_seed_timeout = m_settings.m_first_start ? first_start_seed_timeout
                                                      : seed_timeout},
          make_publisher(m_context),
          m_counts},
      m_traffic{m_settings, m_protocol, m_counts, make_handlers()}
{
}

std::optional<std::string> mesh_node::implementation::start()
{
    // Before the first request can arrive: the default action of these signals
    // ends the process.
    m_signals.add(SIGTERM);
    m_signals.add(SIGINT);
    m_signals.add(SIGHUP);
    record_stop_signals();
    m_ready_server =
        make_server(m_settings.m_ready_listen, &implementation::answer_ready);
    m_admin_server =
        make_server(m_settings.m_admin_listen, &implementation::answer_admin);
    auto failure = m_ready_server->start();
    failure = failure ? failure : m_admin_server->start();
    failure = failure ? failure : m_traffic.start();
    if (failure)
    {
        return failure;
    }
    spawn_loop(
        m_context, "signals",
        [this]
        {
            return wait_for_signals();
        });
    spawn_loop(
        m_context, "flush",
        [this]
        {
            return flush_loop();
        });
    m_directory_sync.start();
    log_event(
        event::node_started,
        {{"callers", core::to_string(m_settings.m_caller_listen)},
         {"peers", core::to_string(m_settings.m_peer_listen)},
         {"admin", core::to_string(m_settings.m_admin_listen)}});
    return std::nullopt;
}

// Events of the traffic thread are posted to the control thread, and replies
// are posted back to the traffic thread.
mesh::traffic_handlers mesh_node::implementation::make_handlers()
{
    return {
        .m_on_status =
            [this, recovered = false](
                std::string const& address, bool same_domain,
                mesh::node_status const& status) mutable
        {
            bool const reports_recovery = status.m_recovered && !recovered;
            recovered = status.m_recovered;
            bool const reports_reader_state =
                same_domain && m_directory_sync.is_outranked_by(address);
            if (!reports_recovery && !reports_reader_state)
            {
                return;
            }
            asio::post(
                m_context,
                [this, address, reports_recovery, reports_reader_state,
                 is_reader = status.m_is_reader]
                {
                    if (reports_reader_state)
                    {
                        m_directory_sync.on_peer(address, is_reader);
                    }
                    if (reports_recovery)
                    {
                        m_directory_sync.on_peer_reported_recovery();
                    }
                });
        },
        .m_on_changes =
            [this](
                std::string const& address,
                core::directory::item_changes&& changes)
        {
            asio::post(
                m_context,
                [this, address, changes = std::move(changes)]
                {
                    m_directory_sync.on_changes(address, changes);
                });
        },
        .m_changes_after =
            [this](
                core::directory::published_state const& after,
                std::function<void(core::directory::item_changes)> reply)
        {
            asio::post(
                m_context,
                [this, after, reply = std::move(reply)]
                {
                    m_traffic.reply(
                        reply, m_directory_sync.changes_after(after));
                });
        }};
}

std::shared_ptr<http_server> mesh_node::implementation::make_server(
    core::endpoint const& listen,
    awaitable<http_response> (implementation::*answer)(http_request&))
{
    auto handler = [this, answer](
                       http_request& request,
                       std::shared_ptr<cancel_scope> const& /*scope*/)
    {
        return (this->*answer)(request);
    };
    http_server_options const options{
        .m_listen = listen, .m_max_connections = max_ready_connections};
    return std::make_shared<http_server>(
        m_context, options, handler, malformed_reply);
}

// The node is ready when a configuration is in force and the node is not
// stopping.
awaitable<http_response> mesh_node::implementation::answer_ready(
    http_request& request)
{
    if (request.target() != m_protocol.m_ready_path)
    {
        co_return text_reply(status::not_found, "not found\n");
    }
    bool const is_ready = !m_draining && m_config_version > 0;
    co_return text_reply(
        is_ready ? status::ok : status::service_unavailable,
        is_ready ? "ready\n" : "not ready\n");
}

awaitable<http_response> mesh_node::implementation::answer_admin(
    http_request& request)
{
    if (request.target() == "/metrics")
    {
        co_return text_reply(status::ok, m_counts.to_text());
    }
    if (request.target() == "/state")
    {
        co_return co_await state_reply();
    }
    co_return text_reply(status::not_found, "known paths: /metrics, /state\n");
}

awaitable<http_response> mesh_node::implementation::state_reply()
{
    Json::Value value{Json::objectValue};
    value["name"] = m_settings.m_name;
    value["failure_domain"] = m_settings.m_failure_domain;
    value["service"] = m_settings.m_service;
    value["build"] = HIBISCUSTIDE_VERSION;
    value["leaving"] = m_draining;
    value["up_ms"] = Json::Int64{
        std::chrono::duration_cast<milliseconds>(clock_now() - m_started_at)
            .count()};
    value["directory"] = m_directory_sync.to_json();
    value["traffic"] = co_await m_traffic.state();
    value["counters"] = m_counts.to_json();
    co_return json_reply(value);
}

awaitable<void> mesh_node::implementation::wait_for_signals()
{
    while (true)
    {
        auto const [error, number] = co_await m_signals.async_wait(no_throw);
        if (!error && number == SIGHUP)
        {
            reload();
            continue;
        }
        break;
    }
    co_await shut_down();
}

awaitable<void> mesh_node::implementation::flush_loop()
{
    while (true)
    {
        co_await pause(flush_interval);
        flush_event_log();
    }
}

awaitable<void> mesh_node::implementation::shut_down()
{
    // The grace period began when the signal arrived, not when this thread had
    // time for it.
    auto const now = clock_now();
    auto const asked_at = stop_signal_time().value_or(now);
    log_event(
        event::node_stopping,
        {{"late_ms",
          std::chrono::duration_cast<milliseconds>(now - asked_at).count()}});
    m_draining = true;
    auto const unanswered = co_await mesh::stop_gracefully(
        m_traffic, asked_at, asked_at + m_settings.m_stop_limit);
    log_event(
        event::node_stopped, {{"cut", static_cast<std::int64_t>(unanswered)}});
    m_context.stop();
}

awaitable<void> mesh_node::implementation::pause(core::duration span)
{
    asio::steady_timer timer{m_context, span};
    co_await timer.async_wait(no_throw);
}

void mesh_node::implementation::reload()
{
    auto const changed = m_reload_settings();
    if (!changed)
    {
        return;
    }
    set_event_level(changed->m_log_level);
    m_settings.m_log_level = changed->m_log_level;
    if (changed->m_service != m_settings.m_service)
    {
        m_settings.m_service = changed->m_service;
        m_traffic.set_service(changed->m_service);
    }
    bool const needs_restart = *changed != m_settings;
    log_event(
        event::settings_reloaded,
        {{"log_level", m_settings.m_log_level},
         {"needs_restart", std::int64_t{needs_restart}}});
}

mesh_node::mesh_node(
    core::config::mesh_settings settings, mesh::protocol wire_protocol,
    publisher_factory const& make_publisher, settings_reader reload_settings)
    : m_implementation{std::make_unique<implementation>(
          std::move(settings), std::move(wire_protocol), make_publisher,
          std::move(reload_settings))}
{
}

mesh_node::~mesh_node() = default;

std::optional<std::string> mesh_node::start()
{
    return m_implementation->start();
}

void mesh_node::run()
{
    run_guarded(m_implementation->m_context);
    m_implementation->m_traffic.stop();
    flush_event_log();
}

} // namespace hibiscustide::net
