/// \file
/// The only way to the target beside the node.
#ifndef HIBISCUSTIDE_NET_MESH_TARGET_GATE_HPP
#define HIBISCUSTIDE_NET_MESH_TARGET_GATE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <hibiscustide/core/admission/admission_queue.hpp>
#include <hibiscustide/core/admission/cold_rate_limiter.hpp>
#include <hibiscustide/core/admission/poison_request_detector.hpp>
#include <hibiscustide/core/admission/target_health.hpp>
#include <hibiscustide/core/directory/directory.hpp>
#include <hibiscustide/core/routing/placement.hpp>

#include "net/cancel_scope.hpp"
#include "net/connection_pool.hpp"
#include "net/http_types.hpp"
#include "net/mesh/messages.hpp"
#include "net/mesh/protocol.hpp"
#include "net/metrics.hpp"

namespace hibiscustide::net::mesh
{

struct target_gate_options
{
    core::endpoint m_target;
    std::chrono::milliseconds m_probe_interval{40};
    std::string m_service;       ///< Of the target, by the settings.
    double m_cold_overage = 1.0; ///< Of what a cold target says it bears.
    double m_cold_slack = 0.0;   ///< On top of that in any one second.
    /// See core::admission::target_health.
    core::duration m_address_reuse{};
};

/// Takes requests from this node and from others, and runs them at the target
/// within what it bears. Everything that must hold for the target as a whole
/// (its slots, its cold rate, no work once it leaves) is decided here. Lives on
/// one io_context.
class target_gate
{
public:
    using done_handler = std::function<void(run_result)>;
    using ticket = std::uint64_t;

    target_gate(
        asio::io_context& context, target_gate_options options,
        protocol const& wire,
        core::admission::poison_request_detector& suspects, metrics& counts);

    /// Begins to probe.
    void start();

    /// Runs the request; `done` is called once, at once or later, unless the
    /// request is cancelled.
    ticket run(run_request request, done_handler done);

    /// Nobody waits for the request: it does not run, or is broken off if it
    /// may be repeated. `done` is not called any more.
    void cancel(ticket which);

    /// The sender can't be reached: like `cancel`, but `done` is called, so
    /// that the sender can learn what became of the request when it asks.
    void abandon(ticket which);

    void change_directory(core::directory::directory_ptr const& now_in_force);

    /// New requests are refused from now on, while the node stops.
    void begin_leaving();

    /// Requests that wait or run.
    [[nodiscard]] std::size_t busy() const noexcept;

    [[nodiscard]] core::routing::target_report report() const;

    /// Called when the report has changed.
    void on_change(std::function<void()> handler);

    /// Called when the target has crashed with requests under way.
    void on_crash(std::function<void()> handler);

    [[nodiscard]] Json::Value to_json() const;

private:
    struct work;

    awaitable<void> probe_loop();
    awaitable<void> probe_once();
    awaitable<void> exchange(std::shared_ptr<work> item);
    void start_work(std::shared_ptr<work> const& item);
    void finish(std::shared_ptr<work> const& item, run_result result);
    void refuse(
        run_request const& request, done_handler const& done,
        run_result&& result);
    void end_slot(work const& item);
    void refuse_waiting(ticket which, core::reason why);
    void pump();
    void update_entry();
    void on_target_gone();
    void notice_suspension();
    [[nodiscard]] bool is_entry_of_target() const;
    [[nodiscard]] std::optional<core::reason> closed_for(
        run_request const& request) const;
    [[nodiscard]] http_request to_http(work const& item) const;
    [[nodiscard]] run_result to_result(
        work const& item, exchange_result&& exchanged);
    void note_outcome(work const& item, core::admission::target_outcome what);

    asio::io_context& m_context;
    target_gate_options m_options;
    protocol const& m_wire;
    core::admission::poison_request_detector& m_suspects;
    metrics& m_counts;
    connection_pool m_pool;
    connection_pool m_probe_pool;
    asio::steady_timer m_probe_timer;
    core::directory::directory_ptr m_directory;
    std::optional<core::directory::target> m_entry;
    std::string m_health_path;
    core::admission::admission_queue m_queue;
    core::admission::cold_rate_limiter m_cold;
    core::admission::target_health m_health;
    std::map<ticket, std::shared_ptr<work>> m_work;
    std::function<void()> m_on_change;
    std::function<void()> m_on_crash;
    ticket m_next_ticket = 1;
    core::duration m_suspended; ///< Of the VM, when it was last looked at.
    bool m_leaving = false;
};

} // namespace hibiscustide::net::mesh

#endif
