/// \file
/// Admits requests to the target beside the node and forwards them.
#ifndef HIBISCUSTIDE_NET_GATE_HPP
#define HIBISCUSTIDE_NET_GATE_HPP

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <hibiscustide/core/admission/concurrency_limiter.hpp>
#include <hibiscustide/core/admission/target_monitor.hpp>
#include <hibiscustide/core/release/fleet.hpp>
#include <hibiscustide/core/routing/target_load.hpp>
#include <hibiscustide/core/time.hpp>
#include <hibiscustide/core/verdict.hpp>

#include "net/cancel_scope.hpp"
#include "net/connection_pool.hpp"
#include "net/http_types.hpp"
#include "net/metrics.hpp"
#include "net/replies.hpp"

namespace hibiscustide::net
{

/// A request for the local target.
struct gate_call
{
    http_request& m_request;
    core::release::request_class m_class = core::release::request_class::live;
    core::time_point m_deadline;
    std::string m_attempt;
    cancel_scope* m_scope = nullptr; ///< Null if the call can't be cancelled.
};

/// Admits, queues or refuses each request for the local target. All requests to
/// the target pass through its gate. The gate's count of running requests is
/// therefore exact, and admission needs no communication with other nodes. The
/// traffic threads of a node share one gate; each thread passes its
/// own connections. Thread-safe.
class gate
{
public:
    /// `name` is the name of the target in release notes.
    gate(std::string name, metrics& counts);
    ~gate();

    /// Runs the request at the target or refuses it. If the exchange with the
    /// target fails, the verdict is refused_not_run if no byte of the request
    /// was written to the target, and may_have_run otherwise.
    awaitable<attempt_result> run(
        asio::io_context& context, connection_pool& target, gate_call call);

    /// Applies the state and the capacity of the target in a new fleet.
    void change_fleet(std::shared_ptr<core::release::fleet const> const& fleet);

    /// Handles the result of a health probe; std::nullopt if the probe failed.
    void on_probe(std::optional<core::admission::probe_answer> const& answer);

    /// Refuses new requests from now on, because the node or its VM is leaving.
    void begin_drain();

    /// The current load, which is reported with each answer.
    [[nodiscard]] core::routing::load_report load() const;

    /// The interval between health probes that stays within the share of the
    /// target's capacity that probes may use.
    [[nodiscard]] core::duration probe_interval() const;

    /// The reason why new requests are refused; std::nullopt if they are
    /// accepted.
    [[nodiscard]] std::optional<core::reason> closed_reason() const;

    [[nodiscard]] Json::Value to_json() const;

private:
    struct waiter;

    [[nodiscard]] std::optional<core::reason> closed_reason_locked() const;
    awaitable<core::verdict> enter(
        asio::io_context& context, gate_call const& call);
    awaitable<attempt_result> exchange(
        connection_pool& target, gate_call const& call);
    void leave(core::admission::run_result result, core::duration took);
    void update_monitor(attempt_result const& result, bool aborted);
    void wake(std::vector<core::admission::ticket> const& admitted);
    void apply_monitor_change(
        core::admission::monitor_change const& change, std::string_view cause);

    std::string m_name;
    metrics& m_counts;
    mutable std::mutex m_mutex;
    core::admission::target_monitor m_monitor;
    std::optional<core::admission::concurrency_limiter> m_limiter;
    std::unordered_map<core::admission::ticket, std::shared_ptr<waiter>>
        m_waiters;
    std::chrono::microseconds m_probe_cost{0};
    std::uint32_t m_slots = 1;
    bool m_in_service = false;
    bool m_draining = false;
};

} // namespace hibiscustide::net

#endif
