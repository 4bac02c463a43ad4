/// \file
/// The only way to the target beside the node.
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

/// A request as the gate runs it.
struct gate_call
{
    http_request& m_request;
    core::release::request_class m_class = core::release::request_class::live;
    core::time_point m_deadline;
    std::string m_attempt;
    cancel_scope* m_scope = nullptr; ///< Null where nobody can cancel.
};

/// Decides, exactly and at once, what runs at the own target. One gate serves
/// all traffic threads of a node; each brings its own connections.
class gate
{
public:
    /// `name` is the target's name in release notes.
    gate(std::string name, metrics& counts);
    ~gate();

    /// Runs the request at the target, or refuses it. Whether a byte of it was
    /// written to the target decides between "not run" and "may have run".
    awaitable<attempt_result> run(
        asio::io_context& context, connection_pool& target, gate_call call);

    /// Another note is in force.
    void change_fleet(std::shared_ptr<core::release::fleet const> const& fleet);

    /// A health probe was answered, or gave nothing.
    void on_probe(std::optional<core::admission::probe_answer> const& answer);

    /// The node or its VM is leaving: no new work from now on.
    void begin_drain();

    /// The load to report on answers.
    [[nodiscard]] core::routing::load_report load() const;

    /// Time between probes that keeps within the measuring budget.
    [[nodiscard]] core::duration probe_interval() const;

    /// Why new work is refused; nothing where it is taken.
    [[nodiscard]] std::optional<core::reason> closed_because() const;

    [[nodiscard]] Json::Value to_json() const;

private:
    struct waiter;

    [[nodiscard]] std::optional<core::reason> closed_locked() const;
    awaitable<core::verdict> enter(
        asio::io_context& context, gate_call const& call);
    awaitable<attempt_result> exchange(
        connection_pool& target, gate_call const& call);
    void leave(core::admission::run_result result, core::duration took);
    void note_result(attempt_result const& result, bool broken_off);
    void wake(std::vector<core::admission::ticket> const& admitted);
    void apply(
        core::admission::monitor_change const& change,
        std::string_view because);

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
