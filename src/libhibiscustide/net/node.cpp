#include <hibiscustide/net/node.hpp>

#include <csignal>
#include <random>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"
#include "net/gate.hpp"
#include "net/http_server.hpp"
#include "net/metrics.hpp"
#include "net/note_sync.hpp"
#include "net/order_registry.hpp"
#include "net/replies.hpp"
#include "net/rpc_server.hpp"
#include "net/target_probe.hpp"
#include "net/traffic_thread.hpp"

namespace hibiscustide::net
{

namespace
{

using core::observe::event;
using std::chrono::milliseconds;

constexpr milliseconds drain_check_interval{20};

// Time that a client that has just connected has to send its request.
constexpr milliseconds idle_grace{250};
constexpr milliseconds tick_interval{100};

// A tick that is delayed by more than this shows that the process was paused.
constexpr milliseconds pause_threshold{1'000};

// The shortest interval between reads of the VM list. In a large fleet the
// interval is longer, so that the reads do not exceed this number of bytes per
// second.
constexpr milliseconds min_vm_list_interval{2'000};
constexpr double vm_list_bytes_per_second = 5'000.0;

note_sync_options to_options(
    core::config::node_settings const& settings, std::uint64_t seed)
{
    return {
        .m_name = settings.m_name,
        .m_platform = settings.m_platform,
        .m_local_address = settings.m_peer_listen.m_address,
        .m_expected_nodes = settings.m_expected_nodes,
        .m_seed = seed};
}

} // namespace

struct node::implementation
{
    explicit implementation(core::config::node_settings settings);

    std::optional<std::string> start();
    void change_fleet(note_sync::fleet_ptr const& fleet);
    rpc_request_handler make_rpc_request_handler();
    awaitable<http_response> answer_admin(http_request& request);
    awaitable<http_response> state_reply();
    [[nodiscard]] http_response health_reply() const;
    awaitable<void> wait_for_signal();
    awaitable<void> probe_loop();
    awaitable<void> vm_list_loop();
    awaitable<void> tick_loop();
    awaitable<void> shut_down();
    awaitable<std::size_t> busy_connections();
    awaitable<void> pause(core::duration span);
    void begin_leaving();

    core::config::node_settings m_settings;
    std::uint64_t m_seed;
    asio::io_context m_context{1};
    asio::signal_set m_signals;
    metrics m_counts;
    gate m_gate;
    order_registry m_orders;
    note_sync m_notes;
    rpc_server m_rpc;
    target_probe m_probe;
    std::shared_ptr<http_server> m_admin;
    std::vector<std::unique_ptr<traffic_thread>> m_traffic_threads;
    core::time_point m_started_at = clock_now();
    bool m_leaving = false;
};

node::implementation::implementation(core::config::node_settings settings)
    : m_settings{std::move(settings)},
      m_seed{std::random_device{}()},
      m_signals{m_context},
      m_gate{m_settings.m_name, m_counts},
      m_orders{m_settings.m_name},
      m_notes{
          m_context, to_options(m_settings, m_seed), m_counts,
          [this](note_sync::fleet_ptr const& fleet)
          {
              change_fleet(fleet);
          }},
      m_rpc{
          rpc_handlers{
              .m_release_after =
                  [this](std::uint64_t revision)
              {
                  return m_notes.state_after(revision);
              },
              .m_release_offer =
                  [this](rpc::release_state const& offered)
              {
                  return m_notes.offer(offered);
              }},
          m_orders},
      m_probe{
          std::in_place_type<http_target_probe>, m_context, m_settings.m_target}
{
}

std::optional<std::string> node::implementation::start()
{
    // Before the first request can arrive: the default action of these signals
    // ends the process.
    m_signals.add(SIGTERM);
    m_signals.add(SIGINT);
    auto on_admin =
        [this](http_request& request, std::shared_ptr<cancel_scope> const&)
    {
        return answer_admin(request);
    };
    m_admin = std::make_shared<http_server>(
        m_context, http_server_options{.m_listen = m_settings.m_admin_listen},
        on_admin, malformed_reply);
    if (auto failure = m_admin->start())
    {
        return failure;
    }
    for (std::uint32_t n = 0; n < m_settings.m_traffic_threads; ++n)
    {
        m_traffic_threads.push_back(std::make_unique<traffic_thread>(
            m_settings, m_seed + n + 1, m_gate, m_orders, m_counts,
            make_rpc_request_handler()));
        if (auto failure = m_traffic_threads.back()->start())
        {
            return failure;
        }
    }
    spawn_loop(
        m_context, "signals",
        [this]
        {
            return wait_for_signal();
        });
    spawn_loop(
        m_context, "probes",
        [this]
        {
            return probe_loop();
        });
    spawn_loop(
        m_context, "VM list",
        [this]
        {
            return vm_list_loop();
        });
    spawn_loop(
        m_context, "ticks",
        [this]
        {
            return tick_loop();
        });
    m_notes.start();
    log_event(
        event::node_started,
        {{"callers", core::to_string(m_settings.m_caller_listen)},
         {"peers", core::to_string(m_settings.m_peer_listen)},
         {"admin", core::to_string(m_settings.m_admin_listen)}});
    return std::nullopt;
}

// The gate and the order registry are updated first, so that they refuse what
// the new note no longer allows even if a traffic thread still chooses
// according to the old note.
void node::implementation::change_fleet(note_sync::fleet_ptr const& fleet)
{
    m_gate.change_fleet(fleet);
    m_orders.change_fleet(fleet);
    for (auto const& thread : m_traffic_threads)
    {
        thread->change_fleet(fleet);
    }
}

rpc_request_handler node::implementation::make_rpc_request_handler()
{
    return [this](std::string body) -> awaitable<std::string>
    {
        auto const answer = [this](std::string text) -> awaitable<std::string>
        {
            co_return m_rpc.handle(text);
        };
        co_return co_await asio::co_spawn(
            m_context, answer(std::move(body)), asio::use_awaitable);
    };
}

awaitable<http_response> node::implementation::answer_admin(
    http_request& request)
{
    if (request.target() == "/health")
    {
        co_return health_reply();
    }
    if (request.target() == "/metrics")
    {
        co_return text_reply(status::ok, m_counts.to_text());
    }
    if (request.target() == "/state")
    {
        co_return co_await state_reply();
    }
    co_return text_reply(
        status::not_found, "known paths: /health, /metrics, /state\n");
}

awaitable<http_response> node::implementation::state_reply()
{
    Json::Value value{Json::objectValue};
    value["name"] = m_settings.m_name;
    value["failure_domain"] = m_settings.m_failure_domain;
    value["version"] = HIBISCUSTIDE_VERSION;
    value["policy"] = m_settings.m_policy;
    value["leaving"] = m_leaving;
    value["up_ms"] = Json::Int64{
        std::chrono::duration_cast<milliseconds>(clock_now() - m_started_at)
            .count()};
    value["release"] = m_notes.to_json();
    value["gate"] = m_gate.to_json();
    value["orders"] = m_orders.to_json();
    value["counters"] = m_counts.to_json();
    auto& threads = value["traffic_threads"] = Json::Value{Json::arrayValue};
    for (auto const& thread : m_traffic_threads)
    {
        threads.append(co_await thread->state());
    }
    co_return json_reply(value);
}

// The node is ready to serve calls if a release note is in force and the node
// is not leaving.
http_response node::implementation::health_reply() const
{
    Json::Value value{Json::objectValue};
    auto const revision = m_notes.in_force()->revision();
    auto const* const state = m_leaving       ? "leaving"
                              : revision == 0 ? "starting"
                                              : "ready";
    value["state"] = state;
    value["revision"] = Json::UInt64{revision};
    auto reply = json_reply(value);
    if (m_leaving || revision == 0)
    {
        reply.result(status::service_unavailable);
    }
    return reply;
}

awaitable<void> node::implementation::wait_for_signal()
{
    co_await m_signals.async_wait(no_throw);
    co_await shut_down();
}

awaitable<void> node::implementation::probe_loop()
{
    while (true)
    {
        auto const answer = co_await probe(m_probe);
        m_counts.add(counter::probes);
        m_gate.on_probe(answer);
        co_await pause(m_gate.probe_interval());
    }
}

awaitable<void> node::implementation::vm_list_loop()
{
    while (!m_leaving)
    {
        co_await m_notes.wait_for_read_permit();
        auto const list = co_await read_vms(m_notes.platform());
        core::duration interval = min_vm_list_interval;
        if (list)
        {
            for (auto const& vm : list->m_vms)
            {
                if (vm.m_name == m_settings.m_name && vm.m_leaving)
                {
                    log_event(event::vm_leaving);
                    begin_leaving();
                }
            }
            std::chrono::duration<double> const paced_interval{
                static_cast<double>(list->m_bytes) / vm_list_bytes_per_second};
            interval = std::max(
                interval,
                std::chrono::duration_cast<core::duration>(paced_interval));
        }
        co_await pause(interval);
    }
}

awaitable<void> node::implementation::tick_loop()
{
    auto expected = clock_now() + tick_interval;
    while (true)
    {
        co_await pause(tick_interval);
        flush_event_log();
        auto const delay = clock_now() - expected;
        if (delay > pause_threshold)
        {
            auto const span = std::chrono::duration_cast<milliseconds>(delay);
            log_event(event::process_paused, {{"ms", span.count()}});
        }
        expected = clock_now() + tick_interval;
    }
}

awaitable<void> node::implementation::shut_down()
{
    log_event(event::node_stopping);
    begin_leaving();
    for (auto const& thread : m_traffic_threads)
    {
        thread->begin_drain();
    }
    co_await pause(m_settings.m_drain_notice);
    for (auto const& thread : m_traffic_threads)
    {
        thread->stop_accepting();
    }
    co_await pause(idle_grace);
    for (auto const& thread : m_traffic_threads)
    {
        thread->close_idle();
    }
    auto const drain_deadline = clock_now() + m_settings.m_drain_limit;
    auto remaining = co_await busy_connections();
    while (remaining > 0 && clock_now() < drain_deadline)
    {
        co_await pause(drain_check_interval);
        remaining = co_await busy_connections();
    }
    log_event(
        event::node_stopped, {{"cut", static_cast<std::int64_t>(remaining)}});
    m_context.stop();
}

awaitable<std::size_t> node::implementation::busy_connections()
{
    std::size_t count = 0;
    for (auto const& thread : m_traffic_threads)
    {
        count += co_await thread->busy_connections();
    }
    co_return count;
}

awaitable<void> node::implementation::pause(core::duration span)
{
    asio::steady_timer timer{m_context, span};
    co_await timer.async_wait(no_throw);
}

void node::implementation::begin_leaving()
{
    m_leaving = true;
    m_gate.begin_drain();
}

node::node(core::config::node_settings settings)
    : m_implementation{std::make_unique<implementation>(std::move(settings))}
{
}

node::~node() = default;

std::optional<std::string> node::start()
{
    return m_implementation->start();
}

void node::run()
{
    run_guarded(m_implementation->m_context);
    for (auto const& thread : m_implementation->m_traffic_threads)
    {
        thread->stop();
    }
    flush_event_log();
}

void node::stop()
{
    asio::post(
        m_implementation->m_context,
        [this]
        {
            m_implementation->m_signals.cancel();
        });
}

} // namespace hibiscustide::net
