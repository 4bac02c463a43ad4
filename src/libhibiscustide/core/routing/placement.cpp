#include <hibiscustide/core/routing/placement.hpp>

#include <algorithm>
#include <limits>

namespace hibiscustide::core::routing
{

namespace
{

constexpr std::chrono::milliseconds min_ejection_time{150};
constexpr std::chrono::milliseconds max_ejection_time{2'000};

// Cost of a failed request, as a multiple of the usual processing time.
constexpr double failure_cost = 6.0;

// Weight of the slowdown of requests that share a target.
constexpr double contention_factor = 1.0;

// Gates without room after which any request is refused.
constexpr std::size_t max_full_gates = 3;

// A report up to this age shows the load of a target well enough.
constexpr std::chrono::milliseconds recent_report_age{250};

} // namespace

void target_view::on_report(
    target_report const& report, std::uint64_t sequence, time_point now,
    bool reports_every_change)
{
    if (sequence <= m_sequence)
    {
        return;
    }
    m_sequence = sequence;
    m_report = report;
    m_reported_at = now;
    m_full_until = {};
    m_sent_since_report = 0;
    m_reports_every_change = reports_every_change;
}

void target_view::on_local_report(target_report const& report, time_point now)
{
    m_report = report;
    m_reported_at = now;
    m_sent_since_report = 0;
}

void target_view::on_sent() noexcept
{
    ++m_in_flight;
    ++m_sent_since_report;
}

void target_view::on_ended() noexcept
{
    m_in_flight -= m_in_flight > 0 ? 1 : 0;
}

void target_view::on_failed(time_point now) noexcept
{
    auto const doublings = std::min<std::uint32_t>(m_failures, 4);
    ++m_failures;
    m_ejected_until =
        now + std::min(min_ejection_time * (1 << doublings), max_ejection_time);
}

void target_view::on_full(duration wait, time_point now) noexcept
{
    m_full_until = now + wait;
}

time_point target_view::full_until() const noexcept
{
    return m_full_until;
}

void target_view::on_answered() noexcept
{
    m_failures = 0;
}

bool target_view::is_ejected(time_point now) const noexcept
{
    return now < m_ejected_until;
}

bool target_view::is_report_stale(
    bool same_domain, time_point now) const noexcept
{
    bool const has_report = m_reported_at != time_point{};
    auto const limit =
        same_domain ? same_domain_report_timeout : other_domain_report_timeout;
    return !has_report || now - m_reported_at > limit;
}

target_report const& target_view::report() const noexcept
{
    return m_report;
}

time_point target_view::reported_at() const noexcept
{
    return m_reported_at;
}

speed target_view::speed_at(time_point now) const noexcept
{
    auto const& reported = m_report.m_speed;
    duration const remaining =
        std::chrono::milliseconds{reported.m_remaining_ms};
    if (m_reports_every_change || now - m_reported_at < remaining)
    {
        return reported;
    }
    return {
        .m_slowness = reported.m_mean_slowness,
        .m_mean_slowness = reported.m_mean_slowness};
}

std::uint32_t target_view::sent_since_report() const noexcept
{
    return m_sent_since_report;
}

double target_view::load() const noexcept
{
    double const reported =
        m_report.m_running + m_report.m_waiting + m_sent_since_report;
    return std::max<double>(reported, m_in_flight);
}

// Requests in excess of the slots, the new request included, divided by the
// number of slots.
static double excess_load_ratio(target_view const& view)
{
    double const slots = std::max<std::uint32_t>(view.report().m_slots, 1);
    return std::max(0.0, view.load() + 1 - slots) / slots;
}

duration expected_residence_time(
    target_view const& view, duration usual_work, time_point now)
{
    std::chrono::duration<double> const unqueued =
        expected_completion_time(view.speed_at(now), usual_work);
    return std::chrono::duration_cast<duration>(
        unqueued * (1.0 + excess_load_ratio(view)));
}

double expected_cost(
    placement_candidate const& candidate, duration usual_work, time_point now)
{
    auto const& view = *candidate.m_view;
    auto const& report = view.report();
    double const slots = std::max<std::uint32_t>(report.m_slots, 1);
    std::chrono::duration<double> const usual =
        std::max<duration>(usual_work, std::chrono::milliseconds{1});
    std::chrono::duration<double> const expected =
        expected_completion_time(view.speed_at(now), usual_work);
    double const slowness = expected / usual;
    double cost = slowness * (1.0 + contention_factor * view.load() / slots +
                              excess_load_ratio(view));
    cost += failure_cost * report.m_failure_percent / 100.0;
    return cost + (candidate.m_same_domain ? 0.0 : cross_domain_cost);
}

// Whether the candidate's node is expected to answer.
static bool is_reachable(placement_candidate const& candidate, time_point now)
{
    auto const& view = *candidate.m_view;
    return candidate.m_responsive && !view.is_ejected(now) &&
           !view.is_report_stale(candidate.m_same_domain, now);
}

static bool has_capacity(target_report const& report)
{
    return report.m_open && (!report.m_cold || report.m_cold_budget > 0);
}

double min_expected_cost(
    std::span<placement_candidate const> candidates, duration usual_work,
    time_point now)
{
    double least = std::numeric_limits<double>::infinity();
    for (auto const& candidate : candidates)
    {
        bool const may_be_chosen = !candidate.m_excluded &&
                                   is_reachable(candidate, now) &&
                                   has_capacity(candidate.m_view->report());
        if (may_be_chosen)
        {
            least = std::min(least, expected_cost(candidate, usual_work, now));
        }
    }
    return least;
}

// Expected time until a request that is sent now starts. The wait that the
// target's node reported gets shorter with its age; each request that this node
// has sent since, in excess of the free slots, makes it longer.
static duration expected_wait(
    target_view const& view, duration usual_work, time_point now)
{
    auto const& report = view.report();
    duration const reported = std::chrono::milliseconds{report.m_wait_ms};
    auto const age = now - view.reported_at();
    auto const rest =
        std::max({reported - age, view.full_until() - now, duration{}});
    std::uint32_t const used = report.m_running + report.m_waiting;
    std::uint32_t const free =
        report.m_slots > used ? report.m_slots - used : 0;
    std::uint32_t const sent = view.sent_since_report();
    std::uint32_t const excess = sent > free ? sent - free : 0;
    auto const work = expected_completion_time(view.speed_at(now), usual_work);
    return rest + work * excess / std::max<std::uint32_t>(report.m_slots, 1);
}

// Whether the gate of a target is expected to admit a request that waits for
// this time.
static bool has_room(
    target_view const& view, request_needs const& needs, duration wait,
    time_point now)
{
    auto const time = wait + processing_time_after(
                                 view.speed_at(now), wait, needs.m_usual_work);
    // A request that would be late gets a free slot if it is not urgent.
    bool const has_free_slot = wait == duration{};
    auto const latest_end = needs.m_urgent || has_free_slot
                                ? needs.m_deadline_left
                                : needs.m_objective_left;
    return time <= latest_end;
}

std::optional<duration> expected_wait_for_room(
    std::span<placement_candidate const> candidates, request_needs const& needs,
    time_point now)
{
    std::optional<duration> least;
    for (auto const& candidate : candidates)
    {
        auto const& view = *candidate.m_view;
        bool const is_known = !candidate.m_excluded &&
                              is_reachable(candidate, now) &&
                              has_capacity(view.report());
        if (!is_known)
        {
            continue;
        }
        auto const wait = expected_wait(view, needs.m_usual_work, now);
        if (has_room(view, needs, wait, now))
        {
            return std::nullopt;
        }
        least = std::min(least.value_or(wait), wait);
    }
    return least;
}

void full_gates::count(target_view const& view, time_point now) noexcept
{
    bool const is_recent = now - view.reported_at() <= recent_report_age;
    ++(is_recent ? m_expected : m_unexpected);
}

bool has_tried_enough(
    full_gates const& refused, request_needs const& needs) noexcept
{
    bool const is_known = refused.m_expected > 0 && !needs.m_urgent;
    return is_known ||
           refused.m_expected + refused.m_unexpected >= max_full_gates;
}

std::optional<std::size_t> place(
    std::span<placement_candidate const> candidates, duration usual_work,
    std::size_t tie, time_point now)
{
    // Ranks targets that are unreachable or have no capacity below all others,
    // whatever their cost.
    constexpr double unavailable_penalty = 1e6;
    std::optional<std::size_t> best;
    double least = std::numeric_limits<double>::max();
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        auto const position = (n + tie) % candidates.size();
        auto const& candidate = candidates[position];
        if (candidate.m_excluded)
        {
            continue;
        }
        double cost = expected_cost(candidate, usual_work, now);
        cost += is_reachable(candidate, now) ? 0.0 : unavailable_penalty;
        cost += has_capacity(candidate.m_view->report()) ? 0.0
                                                         : unavailable_penalty;
        if (cost < least)
        {
            least = cost;
            best = position;
        }
    }
    return best;
}

} // namespace hibiscustide::core::routing
