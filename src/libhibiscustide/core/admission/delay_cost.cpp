#include <hibiscustide/core/admission/delay_cost.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace hibiscustide::core::admission
{

namespace
{

using request_list = std::vector<delayed_request const*>;

bool has_earlier_objective(
    delayed_request const* left, delayed_request const* right)
{
    return std::tie(left->m_objective, left->m_priority, left->m_id) <
           std::tie(right->m_objective, right->m_priority, right->m_id);
}

bool is_more_urgent(delayed_request const* left, delayed_request const* right)
{
    return left->m_priority < right->m_priority;
}

// Position of the last one of those that cost least among the first `count`
// requests. Precondition: `count` is not 0.
std::size_t find_cheapest(request_list const& requests, std::size_t count)
{
    std::size_t cheapest = 0;
    for (std::size_t n = 1; n < count; ++n)
    {
        cheapest =
            is_costlier(*requests[n], *requests[cheapest]) ? cheapest : n;
    }
    return cheapest;
}

// Moves requests from `first` to `later` until those that remain before a
// costlier one do not delay it beyond its safe time. A request starts earlier
// without another one before it, so those that were safe remain so.
void delay_cheaper_requests(
    request_list& first, request_list& later, run_estimate const& estimate)
{
    duration work{};
    std::size_t cheapest = 0; // Of those before the request.
    for (std::size_t n = 0; n < first.size();)
    {
        auto const& request = *first[n];
        bool const has_cheaper =
            n > 0 && is_costlier(request, *first[cheapest]);
        if (!has_cheaper ||
            is_safely_in_time(request, estimate(request, n, work)))
        {
            bool const is_cheapest =
                n == 0 || !is_costlier(request, *first[cheapest]);
            cheapest = is_cheapest ? n : cheapest;
            work += request.m_work;
            ++n;
            continue;
        }
        auto const it = first.begin() + static_cast<std::ptrdiff_t>(cheapest);
        work -= (*it)->m_work;
        later.push_back(*it);
        first.erase(it);
        --n;
        cheapest = n > 0 ? find_cheapest(first, n) : 0;
    }
}

} // namespace

bool is_costlier(
    delayed_request const& left, delayed_request const& right) noexcept
{
    return left.m_priority < right.m_priority;
}

bool is_safely_in_time(
    delayed_request const& request, expected_run const& run) noexcept
{
    auto const latest = std::min(request.m_objective, request.m_deadline);
    return run.m_starts_now || run.m_end + request.m_work / 2 <= latest;
}

std::size_t start_order::size() const noexcept
{
    return m_first.size() + m_later.size();
}

delayed_request const& start_order::at(std::size_t position) const
{
    return position < m_first.size() ? *m_first[position]
                                     : *m_later.at(position - m_first.size());
}

std::size_t start_order::position_of(
    delayed_request const& request) const noexcept
{
    auto const first = std::find(m_first.begin(), m_first.end(), &request);
    auto const later = std::find(m_later.begin(), m_later.end(), &request);
    return static_cast<std::size_t>(
        (first - m_first.begin()) +
        (first == m_first.end() ? later - m_later.begin() : 0));
}

start_order find_start_order(
    std::vector<delayed_request const*> requests, run_estimate const& estimate,
    std::function<bool(delayed_request const&)> const& misses_objective)
{
    std::sort(requests.begin(), requests.end(), has_earlier_objective);
    start_order order;
    request_list late;
    for (auto const* each : requests)
    {
        (misses_objective(*each) ? late : order.m_first).push_back(each);
    }
    delay_cheaper_requests(order.m_first, order.m_later, estimate);
    std::sort(
        order.m_later.begin(), order.m_later.end(), has_earlier_objective);
    order.m_later.insert(order.m_later.end(), late.begin(), late.end());
    std::stable_sort(
        order.m_later.begin(), order.m_later.end(), is_more_urgent);
    return order;
}

} // namespace hibiscustide::core::admission
