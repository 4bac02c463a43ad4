#include <hibiscustide/core/admission/admission_queue.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace hibiscustide::core::admission
{

using routing::best_wait;
using routing::processing_time_after;
using routing::processing_time_now;

namespace
{

// Time constant of the moving average of running urgent requests.
constexpr std::chrono::duration<double> demand_averaging_time{1.0};

// Slots are reserved for this multiple of the mean, since the number of urgent
// requests varies.
constexpr double demand_margin = 1.2;

// A request that is past its expected end is assumed to end after this time.
constexpr std::chrono::milliseconds overdue_remaining_time{30};

// Late requests of the least urgent priority that may wait, as a part of the
// slots.
constexpr std::uint32_t late_waiting_divisor = 4;

// Number of requests over which their slack and their work are averaged.
constexpr int averaged_requests = 16;

// Lower bound of the cold rate, in requests per second, when a wait is
// computed.
constexpr double min_cold_rate = 0.1;

} // namespace

void admission_queue::set_slots(std::uint32_t slots) noexcept
{
    m_slots = std::max<std::uint32_t>(slots, 1);
}

void admission_queue::set_speed(routing::speed const& forecast) noexcept
{
    m_speed = forecast;
}

void admission_queue::set_cold_rate(std::optional<double> per_second) noexcept
{
    m_cold_rate = per_second;
}

admission_decision admission_queue::submit(
    admission_request const& request, bool may_start, time_point now)
{
    if (request.m_deadline <= now)
    {
        return refuse_request{.m_reason = reason::deadline_passed};
    }
    delayed_request const entry{
        .m_id = request.m_id,
        .m_priority = request.m_priority,
        .m_objective = request.m_objective,
        .m_deadline = request.m_deadline,
        .m_work = request.m_work};
    m_max_priority_number = std::max(m_max_priority_number, request.m_priority);
    update_urgent_demand(now);
    update_means(entry, now);
    auto const order = order_with(&entry, now);
    bool const is_first = order.position_of(entry) == 0;
    bool const can_start = request.m_ready && may_start &&
                           has_free_slot(entry, now) && !is_deferred(entry);
    if (is_first && can_start)
    {
        start(entry, now);
        return run_now{};
    }
    auto const wait =
        std::max(expected_wait(entry, order, now), request.m_ready_in);
    refuse_request const refusal{
        .m_reason = reason::queue_full, .m_retry_after = wait};
    if (!may_wait(entry, wait, now))
    {
        return refusal;
    }
    wait_in_queue decision;
    if (m_queue.size() >= std::size_t{m_slots} * max_waiting_per_slot)
    {
        auto const& last = least_costly(order, now);
        if (&last == &entry)
        {
            return refusal;
        }
        decision.m_evicted = last.m_id;
        decision.m_evicted_retry_after = expected_wait(last, order, now);
        erase(last.m_id);
    }
    m_queue.emplace(request.m_id, entry);
    if (!request.m_ready)
    {
        m_not_ready.insert(request.m_id);
    }
    return decision;
}

void admission_queue::mark_ready(std::uint64_t id)
{
    m_not_ready.erase(id);
}

std::optional<std::uint64_t> admission_queue::start_next(time_point now)
{
    update_urgent_demand(now);
    if (running() >= m_slots)
    {
        return std::nullopt;
    }
    auto const order = order_with(nullptr, now);
    for (std::size_t n = 0; n < order.size(); ++n)
    {
        auto const& next = order.at(n);
        bool const can_start = is_ready(next) && has_free_slot(next, now) &&
                               !is_deferred(next) && next.m_deadline > now;
        if (can_start)
        {
            auto const id = next.m_id;
            start(next, now);
            erase(id);
            return id;
        }
    }
    return std::nullopt;
}

std::vector<std::uint64_t> admission_queue::take_infeasible(time_point now)
{
    std::vector<std::uint64_t> infeasible;
    for (auto const& [id, waiting] : m_queue)
    {
        auto const wait = best_wait(m_speed, waiting.m_work);
        if (!can_finish_by(waiting.m_deadline, waiting, wait, now))
        {
            infeasible.push_back(id);
        }
    }
    for (auto const id : infeasible)
    {
        erase(id);
    }
    return infeasible;
}

bool admission_queue::remove(std::uint64_t id)
{
    bool const is_waiting = m_queue.contains(id);
    erase(id);
    return is_waiting;
}

void admission_queue::erase(std::uint64_t id)
{
    m_not_ready.erase(id);
    m_queue.erase(id);
}

std::vector<std::uint64_t> admission_queue::take_all()
{
    std::vector<std::uint64_t> ids;
    ids.reserve(m_queue.size());
    for (auto const& [id, waiting] : m_queue)
    {
        ids.push_back(id);
    }
    m_queue.clear();
    m_not_ready.clear();
    return ids;
}

void admission_queue::finish(std::uint64_t id, time_point now) noexcept
{
    update_urgent_demand(now);
    auto const it = m_running.find(id);
    if (it != m_running.end())
    {
        m_urgent_running -= it->second.m_urgent ? 1 : 0;
        m_running.erase(it);
    }
}

duration admission_queue::wait_of_next(bool may_start, time_point now) const
{
    delayed_request next{
        .m_id = std::numeric_limits<std::uint64_t>::max(),
        .m_priority = m_max_priority_number,
        .m_objective = time_point::max(),
        .m_deadline = time_point::max()};
    auto const order = order_with(&next, now);
    delayed_request const usual{
        .m_priority = m_max_priority_number, .m_work = m_least_urgent_work};
    bool const starts_now =
        may_start && has_free_slot(usual, now) && order.position_of(next) == 0;
    return starts_now ? duration{} : expected_wait(next, order, now);
}

std::uint32_t admission_queue::running() const noexcept
{
    return static_cast<std::uint32_t>(m_running.size());
}

std::uint32_t admission_queue::waiting() const noexcept
{
    return static_cast<std::uint32_t>(m_queue.size());
}

std::uint32_t admission_queue::slots() const noexcept
{
    return m_slots;
}

bool admission_queue::is_urgent(delayed_request const& waiting) const noexcept
{
    return waiting.m_priority < m_max_priority_number;
}

bool admission_queue::has_free_slot(
    delayed_request const& waiting, time_point now) const noexcept
{
    if (is_urgent(waiting))
    {
        return running() < m_slots;
    }
    return running() + reserved_slots(waiting, now) < m_slots;
}

// Slots that stay free for urgent requests when the request starts: the
// expected number of urgent requests less those that run and less the slots
// that become free while an urgent request can still wait, but at most half of
// all slots. None stay free for a request that ends within that time itself.
std::uint32_t admission_queue::reserved_slots(
    delayed_request const& waiting, time_point now) const noexcept
{
    if (waiting.m_work <= m_urgent_slack)
    {
        return 0;
    }
    auto const demand =
        static_cast<std::uint32_t>(std::ceil(m_urgent_demand * demand_margin));
    auto const free_in_time = std::count_if(
        m_running.begin(), m_running.end(),
        [latest = now + m_urgent_slack](auto const& each)
        {
            return !each.second.m_urgent && each.second.m_ends_at <= latest;
        });
    auto const met =
        m_urgent_running + static_cast<std::uint32_t>(free_in_time);
    auto const unmet_demand = demand > met ? demand - met : 0;
    return std::min(unmet_demand, m_slots / 2);
}

// Updates the moving averages of the slack of urgent requests and of the work
// of the other ones. The slack of a request that misses its objective in any
// case does not count.
void admission_queue::update_means(
    delayed_request const& arrived, time_point now) noexcept
{
    if (!is_urgent(arrived))
    {
        m_least_urgent_work +=
            (arrived.m_work - m_least_urgent_work) / averaged_requests;
        return;
    }
    auto const slack = arrived.m_objective - now - arrived.m_work;
    if (slack > duration{})
    {
        m_urgent_slack += (slack - m_urgent_slack) / averaged_requests;
    }
}

// Updates the exponential moving average of the running urgent requests.
void admission_queue::update_urgent_demand(time_point now) noexcept
{
    std::chrono::duration<double> const passed = now - m_demand_updated_at;
    double const weight = 1.0 - std::exp(-passed / demand_averaging_time);
    m_urgent_demand += (m_urgent_running - m_urgent_demand) * weight;
    m_demand_updated_at = now;
}

// The order of starts of the waiting requests and of one more, if given.
start_order admission_queue::order_with(
    delayed_request const* entry, time_point now) const
{
    std::vector<delayed_request const*> requests;
    requests.reserve(m_queue.size() + 1);
    for (auto const& [id, waiting] : m_queue)
    {
        requests.push_back(&waiting);
    }
    if (entry != nullptr)
    {
        requests.push_back(entry);
    }
    auto const ends = expected_ends(now);
    return find_start_order(
        std::move(requests),
        [&](delayed_request const& request, std::size_t ahead, duration work)
        {
            auto const wait = expected_wait(request, ahead, work, ends, now);
            auto const took =
                processing_time_after(m_speed, wait, request.m_work);
            return expected_run{
                .m_starts_now = wait == duration{}, .m_end = now + wait + took};
        },
        [&](delayed_request const& request)
        {
            return misses_objective(request, now);
        });
}

duration admission_queue::expected_wait(
    delayed_request const& entry, start_order const& order,
    time_point now) const
{
    duration work{};
    auto const ahead = order.position_of(entry);
    for (std::size_t n = 0; n < ahead; ++n)
    {
        work += order.at(n).m_work;
    }
    return expected_wait(entry, ahead, work, expected_ends(now), now);
}

// Expected wait of a request that starts after `ahead` others, which have
// `work` in total.
duration admission_queue::expected_wait(
    delayed_request const& entry, std::size_t ahead, duration work,
    std::vector<time_point> const& ends, time_point now) const
{
    auto wait = slot_free_at(ahead, work, ends, now) - now;
    if (m_cold_rate)
    {
        std::chrono::duration<double> const cold_wait{
            (static_cast<double>(ahead) + 1.0) /
            std::max(*m_cold_rate, min_cold_rate)};
        wait = std::max(wait, std::chrono::duration_cast<duration>(cold_wait));
    }
    return is_deferred(entry) ? std::max(wait, best_wait(m_speed, entry.m_work))
                              : wait;
}

// Expected ends of the running requests, in ascending order.
std::vector<time_point> admission_queue::expected_ends(time_point now) const
{
    std::vector<time_point> ends;
    ends.reserve(m_running.size());
    for (auto const& [id, each] : m_running)
    {
        ends.push_back(std::max(each.m_ends_at, now + overdue_remaining_time));
    }
    std::sort(ends.begin(), ends.end());
    return ends;
}

// Expected time at which a slot becomes free for a request with `ahead`
// requests before it in the queue. Each running request frees its slot when it
// ends. A request that is further back than the number of slots also waits for
// `work`, the total work of the requests ahead of it, spread over all slots.
time_point admission_queue::slot_free_at(
    std::size_t ahead, duration work, std::vector<time_point> const& ends,
    time_point now) const
{
    std::size_t const free = m_slots > running() ? m_slots - running() : 0;
    if (ahead < free)
    {
        return now;
    }
    auto const position = ahead - free;
    if (position < ends.size())
    {
        return ends[position];
    }
    return (ends.empty() ? now : ends.back()) +
           processing_time_after(
               m_speed, ends.empty() ? duration{} : ends.back() - now,
               work / m_slots);
}

bool admission_queue::is_ready(delayed_request const& waiting) const
{
    return !m_not_ready.contains(waiting.m_id);
}

// Whether the request finishes earlier if it starts later, after a slow period
// of the target's machine.
bool admission_queue::is_deferred(delayed_request const& waiting) const
{
    return best_wait(m_speed, waiting.m_work) > duration{};
}

bool admission_queue::can_finish_by(
    time_point latest_end, delayed_request const& waiting, duration wait,
    time_point now) const
{
    return now + wait + processing_time_after(m_speed, wait, waiting.m_work) <=
           latest_end;
}

// Whether a request that cannot start now is queued.
bool admission_queue::may_wait(
    delayed_request const& entry, duration wait, time_point now) const
{
    if (!can_finish_by(entry.m_deadline, entry, wait, now))
    {
        return false;
    }
    if (is_urgent(entry) || can_finish_by(entry.m_objective, entry, wait, now))
    {
        return true;
    }
    bool const is_late =
        !can_finish_by(entry.m_objective, entry, duration{}, now);
    return is_late &&
           late_waiting(now) <
               std::max<std::size_t>(m_slots / late_waiting_divisor, 1);
}

std::size_t admission_queue::late_waiting(time_point now) const
{
    auto const count = std::count_if(
        m_queue.begin(), m_queue.end(),
        [this, now](auto const& each)
        {
            return !is_urgent(each.second) &&
                   misses_objective(each.second, now);
        });
    return static_cast<std::size_t>(count);
}

// Whether the request misses its objective even if it starts now.
bool admission_queue::misses_objective(
    delayed_request const& waiting, time_point now) const
{
    return !can_finish_by(
        std::min(waiting.m_objective, waiting.m_deadline), waiting, duration{},
        now);
}

// The request whose refusal costs least: the one that would start last of those
// with the least cost. Precondition: the order is not empty.
delayed_request const& admission_queue::least_costly(
    start_order const& order, time_point now) const
{
    auto const* least = &order.at(0);
    for (std::size_t n = 1; n < order.size(); ++n)
    {
        auto const& each = order.at(n);
        auto const rank = [&](delayed_request const& request)
        {
            return std::tuple{
                misses_objective(request, now), request.m_objective,
                request.m_id};
        };
        bool const costs_less =
            is_costlier(*least, each) ||
            (!is_costlier(each, *least) && rank(*least) < rank(each));
        least = costs_less ? &each : least;
    }
    return *least;
}

void admission_queue::start(delayed_request const& waiting, time_point now)
{
    bool const urgent = is_urgent(waiting);
    m_urgent_running += urgent ? 1 : 0;
    m_running[waiting.m_id] = {
        .m_ends_at = now + processing_time_now(m_speed, waiting.m_work),
        .m_urgent = urgent};
}

} // namespace hibiscustide::core::admission
