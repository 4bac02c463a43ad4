/// \file
/// Sends all requests to the local target and limits them.
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
#include <hibiscustide/core/admission/contention_model.hpp>
#include <hibiscustide/core/admission/failed_calls.hpp>
#include <hibiscustide/core/admission/poison_request_detector.hpp>
#include <hibiscustide/core/admission/target_health.hpp>
#include <hibiscustide/core/directory/directory.hpp>
#include <hibiscustide/core/routing/placement.hpp>

#include "net/body_buffer.hpp"
#include "net/cancel_scope.hpp"
#include "net/connection_pool.hpp"
#include "net/http_types.hpp"
#include "net/mesh/messages.hpp"
#include "net/mesh/protocol.hpp"
#include "net/metrics.hpp"

namespace hibiscustide::net::mesh
{

/// Parameters of a target_gate.
struct target_gate_options
{
    core::endpoint m_target;
    std::chrono::milliseconds m_probe_interval{40};
    std::string m_service; ///< Service of the target at the start.
    /// Request rate of a cold target, as a multiple of its published rate.
    double m_cold_overage = 1.0;
    /// Requests that a cold target may get in any one second in addition to
    /// that rate.
    double m_cold_slack = 0.0;
    /// Minimum time until the target's address may be reused by another
    /// service; see core::admission::target_health.
    core::duration m_address_reuse{};
};

/// The body of a request that has not arrived completely.
struct following_body
{
    body_buffer_ptr m_buffer;       ///< Null if the request contains its body.
    core::duration m_expected_in{}; ///< Expected time until it has arrived.
};

/// Accepts requests from this node and from peers and runs them at the local
/// target. Enforces the limits that apply to the target as a whole: its slots,
/// its rate while it is cold, and no new requests while it drains. Runs on
/// one io_context.
class target_gate
{
public:
    using done_handler = std::function<void(run_result)>;
    /// Identifies a request at the gate.
    using ticket = std::uint64_t;

    target_gate(
        asio::io_context& context, target_gate_options options,
        protocol const& wire_protocol,
        core::admission::poison_request_detector& poison_detector,
        metrics& counts);

    /// Starts to probe the target.
    void start();

    /// Runs, queues or refuses the request. A request whose body follows is
    /// started once the body has arrived or its buffer is full. `done` is
    /// called exactly once, possibly before this function returns, unless the
    /// request is cancelled.
    ticket run(
        run_request request, following_body const& body, done_handler done);

    /// Cancels a request whose caller no longer waits. A queued request is
    /// removed, and a running one is aborted if it is idempotent. `done` is no
    /// longer called.
    void cancel(ticket which);

    /// Cancels a request whose sender cannot be reached. Unlike `cancel`, calls
    /// `done`, so that the sender can ask for the result later.
    void abandon(ticket which);

    /// Like `abandon`, but only if the request waits in the queue.
    void abandon_queued(ticket which);

    void set_directory(core::directory::directory_ptr const& current);

    /// The settings name another service of the target.
    void set_service(std::string const& name);

    /// The service of the target: that of the settings, or the one for which
    /// the target has registered since.
    [[nodiscard]] std::string const& service() const noexcept;

    /// Sets the share of the slots that the gates of the service's other
    /// targets have measured to give the highest throughput.
    void set_share_of_peers(std::optional<double> share);

    /// Whether requests from this IP address are calls of the local target.
    [[nodiscard]] bool is_target(std::string const& address) const noexcept;

    /// A call that the local target made through this node has failed.
    void on_call_failed();

    /// Refuses all new and waiting requests, because the node is stopping.
    void begin_drain();

    /// Ends the running requests as possibly run, because the node is about to
    /// exit.
    void end_running();

    /// Number of waiting and running requests.
    [[nodiscard]] std::size_t active_requests() const noexcept;

    /// The state of the target that is reported to the peers.
    [[nodiscard]] core::routing::target_report report() const;

    /// Sets the handler that is called when the report may have changed.
    void on_change(std::function<void()> handler);

    /// Sets the handler that is called when the target has crashed while it was
    /// running requests.
    void on_crash(std::function<void()> handler);

    [[nodiscard]] Json::Value to_json() const;

private:
    struct active_request;
    class exchange_guard;

    awaitable<void> probe_loop();
    awaitable<void> probe_once();
    awaitable<void> exchange(std::shared_ptr<active_request> active);
    void submit(
        std::shared_ptr<active_request> const& active,
        core::duration body_expected_in, core::time_point now);
    void start_request(std::shared_ptr<active_request> const& active);
    static void stop_receiving(active_request const& active);
    void finish(
        std::shared_ptr<active_request> const& active, run_result result);
    void refuse(
        run_request const& request, done_handler const& done,
        run_result&& result);
    void release_slot(active_request const& active);
    void log_discarded(http_request const& request, discard_reason why) const;
    void refuse_queued(
        ticket which, core::reason why, core::duration retry_after = {});
    void start_queued_requests();
    void on_body_changed(std::shared_ptr<active_request> const& active);
    [[nodiscard]] std::optional<core::duration> remaining_block_time(
        active_request const& active) const;
    void update_slots(core::time_point now);
    void update_entry();
    void on_registered(core::directory::target const& entry);
    void on_target_ended();
    void check_suspension();
    [[nodiscard]] bool entry_matches_instance() const;
    [[nodiscard]] std::optional<core::reason> refusal_reason(
        run_request const& request) const;
    [[nodiscard]] http_request to_http(active_request const& active) const;
    [[nodiscard]] run_result to_result(
        active_request const& active, exchange_result&& exchanged);
    void record_processing_time(
        active_request const& active, std::int64_t work_us,
        core::time_point now);
    void record_outcome(
        active_request const& active, core::admission::target_outcome what);

    asio::io_context& m_context;
    target_gate_options m_options;
    protocol const& m_protocol;
    core::admission::poison_request_detector& m_poison_detector;
    metrics& m_counts;
    connection_pool m_pool;
    connection_pool m_probe_pool;
    asio::steady_timer m_probe_timer;
    core::directory::directory_ptr m_directory;
    /// The target's entry in the directory.
    std::optional<core::directory::target> m_entry;
    std::string m_service;
    std::string m_registered_instance; ///< The last that set m_service.
    std::string m_health_path;
    core::admission::admission_queue m_queue;
    core::admission::contention_model m_contention;
    core::admission::cold_rate_limiter m_cold_limiter;
    core::admission::target_health m_health;
    core::admission::failed_calls m_failed_calls;
    std::map<ticket, std::shared_ptr<active_request>> m_requests;
    std::function<void()> m_on_change;
    std::function<void()> m_on_crash;
    ticket m_next_ticket = 1;
    core::duration m_suspended_time; ///< Of the VM, at the last check.
    bool m_draining = false;
    /// Expires with the gate, for coroutines that are destroyed after it.
    std::shared_ptr<target_gate*> m_self = std::make_shared<target_gate*>(this);
};

} // namespace hibiscustide::net::mesh

#endif
