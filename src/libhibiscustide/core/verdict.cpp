#include <hibiscustide/core/verdict.hpp>

#include <array>

namespace hibiscustide::core
{

namespace
{

struct reason_name
{
    reason m_reason;
    std::string_view m_name;
};

// Owners are called "home" in the written names not-home and
// previous-home-unreachable.
constexpr auto reason_names = std::to_array<reason_name>({
    {reason::unknown_service, "unknown-service"},
    {reason::bad_request, "bad-request"},
    {reason::class_forbidden, "class-forbidden"},
    {reason::deadline_passed, "deadline-passed"},
    {reason::no_target, "no-target"},
    {reason::withdrawn, "withdrawn"},
    {reason::draining, "draining"},
    {reason::target_down, "target-down"},
    {reason::target_refused, "target-refused"},
    {reason::queue_full, "queue-full"},
    {reason::connect_failed, "connect-failed"},
    {reason::not_owner, "not-home"},
    {reason::key_conflict, "key-conflict"},
    {reason::key_voided, "key-voided"},
    {reason::key_unproven, "key-unproven"},
    {reason::records_full, "records-full"},
    {reason::previous_owner_unreachable, "previous-home-unreachable"},
    {reason::connection_broken, "connection-broken"},
    {reason::response_timeout, "response-timeout"},
    {reason::answer_mismatched, "answer-mismatched"},
    {reason::answer_too_large, "answer-too-large"},
    {reason::caller_left, "caller-left"},
    {reason::retry_budget_spent, "retry-budget-spent"},
    {reason::target_cold, "target-cold"},
    {reason::peer_unreachable, "peer-unreachable"},
    {reason::no_configuration, "no-configuration"},
    {reason::no_route, "no-route"},
    {reason::gate_restarted, "gate-restarted"},
    {reason::crashes_targets, "crashes-targets"},
    {reason::unauthenticated, "unauthenticated"},
    {reason::quota_exceeded, "quota-exceeded"},
});

struct verdict_name
{
    std::string_view operator()(answered const&) const noexcept
    {
        return "answered";
    }
    std::string_view operator()(refused_not_run const&) const noexcept
    {
        return "not-run";
    }
    std::string_view operator()(may_have_run const&) const noexcept
    {
        return "may-have-run";
    }
};

} // namespace

std::string_view to_string(reason value) noexcept
{
    for (auto const& entry : reason_names)
    {
        if (entry.m_reason == value)
        {
            return entry.m_name;
        }
    }
    return "connection-broken";
}

reason parse_reason(std::string_view name) noexcept
{
    for (auto const& entry : reason_names)
    {
        if (entry.m_name == name)
        {
            return entry.m_reason;
        }
    }
    return reason::connection_broken;
}

std::string_view to_string(verdict const& value) noexcept
{
    return std::visit(verdict_name{}, value);
}

verdict parse_verdict(std::string_view name, reason why) noexcept
{
    if (name == "answered")
    {
        return answered{};
    }
    if (name == "not-run")
    {
        return refused_not_run{.m_reason = why};
    }
    return may_have_run{.m_reason = why};
}

} // namespace hibiscustide::core
