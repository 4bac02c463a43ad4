// Replays a burst above the capacity of a service with the real decisions of
// ingresses and gates, an explicit clock and no network.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <hibiscustide/core/admission/admission_queue.hpp>
#include <hibiscustide/core/retry/caller_age.hpp>
#include <hibiscustide/core/retry/retry_after.hpp>
#include <hibiscustide/core/routing/placement.hpp>
#include <hibiscustide/core/routing/speed.hpp>

namespace admission = hibiscustide::core::admission;
namespace retry = hibiscustide::core::retry;
namespace routing = hibiscustide::core::routing;
using hibiscustide::core::duration;
using hibiscustide::core::time_point;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{duration{1h}};
constexpr time_point burst_begin = start + 3s;
constexpr time_point burst_end = start + 8s;
constexpr time_point end = start + 14s;

constexpr std::size_t gates = 12;
constexpr std::size_t ingresses = 24;
constexpr std::uint32_t slots = 14;
constexpr duration usual_work = 220ms;
constexpr duration objective = 600ms;
constexpr duration deadline = 5s;
constexpr duration network_delay = 1ms;
constexpr duration report_interval = 15ms;
constexpr duration probe_interval = 40ms;
constexpr duration slow_period = 300ms;
constexpr double slow_share = 0.25;
constexpr double slow_factor = 4.0;
constexpr std::size_t max_returns = 2;

// Requests per second that the gates serve at their usual speed, without the
// quarter that is slow.
constexpr double capacity = gates * slots * (1.0 - slow_share) / 0.22;

// How ingresses treat requests when the gates have no room.
enum class policy
{
    // Tries each gate, and all of them again for a while. A retry of a caller
    // counts as a new request.
    search,
    // Refuses by the reports, or after a gate without room. A retry keeps the
    // objective of the first attempt.
    refuse_early,
    // Knows the speeds and starts each request at any gate.
    oracle,
};

struct outcome_counts
{
    std::size_t m_requests = 0;
    std::size_t m_in_time = 0;
    std::size_t m_late = 0;
    std::size_t m_failed = 0;
    std::size_t m_caller_attempts = 0;
    std::size_t m_gate_attempts = 0;
    double m_most_attempts = 0; ///< For a caller's attempt, in any second.
    duration m_normal_after{};  ///< From the end of the burst.
};

class replay
{
public:
    replay(policy how, std::uint64_t seed)
        : m_policy{how},
          m_random{seed}
    {
    }

    outcome_counts run()
    {
        for (std::size_t n = 0; n < gates; ++n)
        {
            m_gates.at(n).m_queue.set_slots(slots);
            at(start + probe_interval * n / gates,
               [this, n]
               {
                   probe(n);
               });
            at(start + report_interval * n / gates,
               [this, n]
               {
                   report(n);
               });
            at(start + slow_period * n / gates,
               [this, n]
               {
                   change_speed(n);
               });
        }
        at(start,
           [this]
           {
               arrive();
           });
        while (!m_events.empty() && m_now < end + deadline)
        {
            auto const first = m_events.begin();
            m_now = first->first;
            auto const event = std::move(first->second);
            m_events.erase(first);
            event();
        }
        for (auto const& [second, count] : m_gate_attempts)
        {
            double const ratio = static_cast<double>(count) /
                                 static_cast<double>(std::max<std::size_t>(
                                     m_caller_attempts[second], 1));
            m_counts.m_most_attempts =
                std::max(m_counts.m_most_attempts, ratio);
        }
        m_counts.m_normal_after = find_normal_after();
        return m_counts;
    }

private:
    static constexpr duration window_length = 500ms;
    static constexpr double normal_share = 0.9;

    struct arrival_window
    {
        std::size_t m_arrived = 0;
        std::size_t m_in_time = 0;
    };

    struct request
    {
        time_point m_first_at{};
        std::size_t m_returns = 0;
        std::size_t m_ingress = 0;
        time_point m_arrived_at{}; // At the ingress, with this attempt.
        time_point m_objective{};  // As the ingress estimates it.
        duration m_wait{};         // For room, as a gate has stated it.
        double m_work_factor = 1;
        std::vector<bool> m_refused = std::vector<bool>(gates);
        routing::full_gates m_full_gates;
    };
    using request_ptr = std::shared_ptr<request>;

    struct gate
    {
        admission::admission_queue m_queue;
        routing::speed_history m_history;
        double m_slowness = 1;
        std::map<std::uint64_t, request_ptr> m_requests;
        std::uint64_t m_next_id = 1;
        std::uint64_t m_sequence = 0;
    };

    struct ingress
    {
        std::array<routing::target_view, gates> m_views;
        retry::caller_age m_caller_age;
    };

    // Time from the end of the burst to the first window of arrivals of which
    // nearly all were answered in time.
    [[nodiscard]] duration find_normal_after() const
    {
        for (auto const& [number, window] : m_windows)
        {
            auto const begin = start + number * window_length;
            bool const is_normal =
                static_cast<double>(window.m_in_time) >=
                normal_share * static_cast<double>(window.m_arrived);
            if (begin >= burst_end && is_normal)
            {
                return begin - burst_end;
            }
        }
        return end - burst_end;
    }

    void at(time_point when, std::function<void()> event)
    {
        m_events.emplace(when, std::move(event));
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>{0, 1}(m_random);
    }

    void probe(std::size_t n)
    {
        auto& each = m_gates.at(n);
        each.m_history.on_report(
            static_cast<std::uint32_t>(each.m_slowness * 100), m_now);
        each.m_queue.set_speed(each.m_history.forecast(m_now));
        start_waiting(n);
        at(m_now + probe_interval,
           [this, n]
           {
               probe(n);
           });
    }

    void change_speed(std::size_t n)
    {
        m_gates.at(n).m_slowness = uniform() < slow_share ? slow_factor : 1.0;
        if (m_policy == policy::oracle)
        {
            start_at_any_gate();
        }
        at(m_now + slow_period,
           [this, n]
           {
               change_speed(n);
           });
    }

    void report(std::size_t n)
    {
        auto& each = m_gates.at(n);
        routing::target_report const sent{
            .m_running = each.m_queue.running(),
            .m_waiting = each.m_queue.waiting(),
            .m_slots = slots,
            .m_speed = each.m_history.forecast(m_now),
            .m_wait_ms = static_cast<std::uint32_t>(
                each.m_queue.wait_of_next(true, m_now) / 1ms)};
        auto const sequence = ++each.m_sequence;
        at(m_now + network_delay,
           [this, n, sent, sequence]
           {
               for (auto& node : m_ingresses)
               {
                   node.m_views.at(n).on_report(sent, sequence, m_now);
               }
           });
        at(m_now + report_interval,
           [this, n]
           {
               report(n);
           });
    }

    void arrive()
    {
        if (m_now > end)
        {
            return;
        }
        bool const is_burst = m_now >= burst_begin && m_now < burst_end;
        double const rate = capacity * (is_burst ? 1.15 : 0.6);
        auto const arrived = std::make_shared<request>();
        arrived->m_first_at = m_now;
        arrived->m_work_factor =
            std::lognormal_distribution<double>{0.0, 0.3}(m_random);
        ++m_counts.m_requests;
        ++m_windows[window_of(*arrived)].m_arrived;
        send_from_caller(arrived);
        std::chrono::duration<double> const next{
            std::exponential_distribution<double>{rate}(m_random)};
        at(m_now + std::chrono::duration_cast<duration>(next),
           [this]
           {
               arrive();
           });
    }

    void send_from_caller(request_ptr const& sent)
    {
        sent->m_ingress = m_random() % ingresses;
        sent->m_arrived_at = m_now;
        auto const age = m_ingresses.at(sent->m_ingress)
                             .m_caller_age.on_request(
                                 sent->m_first_at + deadline - m_now, m_now);
        sent->m_objective =
            m_now + objective - (m_policy == policy::search ? 0s : age);
        std::fill(sent->m_refused.begin(), sent->m_refused.end(), false);
        sent->m_full_gates = {};
        ++m_caller_attempts[second_of(m_now)];
        ++m_counts.m_caller_attempts;
        place(sent);
    }

    // Shares one queue among all gates. Starts requests that can still be
    // answered in time first, at the fastest gate.
    void start_at_any_gate()
    {
        for (bool const late : {false, true})
        {
            for (auto it = m_shared.begin(); it != m_shared.end();)
            {
                bool const is_taken = start_shared(*it, late);
                it = is_taken ? m_shared.erase(it) : std::next(it);
            }
        }
    }

    bool start_shared(request_ptr const& sent, bool late)
    {
        if (m_now > sent->m_first_at + deadline)
        {
            ++m_counts.m_failed;
            return true;
        }
        auto const chosen = fastest_free_gate();
        if (chosen == gates)
        {
            return false;
        }
        auto const took = time_at(chosen, *sent);
        bool const was_missed =
            m_now + usual_work > sent->m_first_at + objective;
        bool const is_useful =
            late ? was_missed : m_now + took <= sent->m_first_at + objective;
        if (!is_useful)
        {
            return false;
        }
        ++m_busy.at(chosen);
        at(m_now + took,
           [this, sent, chosen]
           {
               --m_busy.at(chosen);
               answer(sent);
               start_at_any_gate();
           });
        return true;
    }

    [[nodiscard]] std::size_t fastest_free_gate() const
    {
        std::size_t best = gates;
        for (std::size_t n = 0; n < gates; ++n)
        {
            bool const is_free = m_busy.at(n) < slots;
            bool const is_faster =
                best == gates ||
                m_gates.at(n).m_slowness < m_gates.at(best).m_slowness;
            best = is_free && is_faster ? n : best;
        }
        return best;
    }

    [[nodiscard]] duration time_at(std::size_t n, request const& sent) const
    {
        std::chrono::duration<double> const usual = usual_work;
        return std::chrono::duration_cast<duration>(
            usual * sent.m_work_factor * m_gates.at(n).m_slowness);
    }

    [[nodiscard]] std::vector<routing::placement_candidate> candidates_for(
        request const& sent) const
    {
        std::vector<routing::placement_candidate> candidates;
        for (std::size_t n = 0; n < gates; ++n)
        {
            candidates.push_back(
                {.m_view = &m_ingresses.at(sent.m_ingress).m_views.at(n),
                 .m_same_domain = true,
                 .m_excluded = sent.m_refused.at(n)});
        }
        return candidates;
    }

    // Whether the ingress refuses the request without another attempt.
    bool refuse_early(request_ptr const& sent)
    {
        routing::request_needs const needs{
            .m_usual_work = usual_work,
            .m_objective_left = sent->m_objective - m_now,
            .m_deadline_left = sent->m_first_at + deadline - m_now};
        auto const wait = routing::expected_wait_for_room(
            candidates_for(*sent), needs, m_now);
        if (!wait && !routing::has_tried_enough(sent->m_full_gates, needs))
        {
            return false;
        }
        refuse(sent, wait.value_or(sent->m_wait));
        return true;
    }

    void place(request_ptr const& sent)
    {
        if (m_policy == policy::oracle)
        {
            m_shared.push_back(sent);
            start_at_any_gate();
            return;
        }
        if (m_policy == policy::refuse_early && refuse_early(sent))
        {
            return;
        }
        auto const chosen = routing::place(
            candidates_for(*sent), usual_work, m_random(), m_now);
        if (chosen)
        {
            m_ingresses.at(sent->m_ingress).m_views.at(*chosen).on_sent();
            ++m_gate_attempts[second_of(m_now)];
            ++m_counts.m_gate_attempts;
            at(m_now + network_delay,
               [this, sent, n = *chosen]
               {
                   submit(sent, n);
               });
            return;
        }
        search_again(sent);
    }

    void search_again(request_ptr const& sent)
    {
        if (m_now + 20ms >= sent->m_arrived_at + objective / 8)
        {
            refuse(sent, sent->m_wait);
            return;
        }
        at(m_now + 20ms,
           [this, sent]
           {
               std::fill(sent->m_refused.begin(), sent->m_refused.end(), false);
               place(sent);
           });
    }

    void submit(request_ptr const& sent, std::size_t n)
    {
        auto& each = m_gates.at(n);
        each.m_queue.set_speed(each.m_history.forecast(m_now));
        auto const id = each.m_next_id++;
        auto const decision = each.m_queue.submit(
            {.m_id = id,
             .m_objective = sent->m_objective,
             .m_deadline = sent->m_first_at + deadline,
             .m_work = usual_work},
            true, m_now);
        if (auto const* const refused =
                std::get_if<admission::refuse_request>(&decision))
        {
            at(m_now + network_delay,
               [this, sent, n, after = refused->m_retry_after]
               {
                   on_refused(sent, n, after);
               });
            return;
        }
        each.m_requests.emplace(id, sent);
        if (std::holds_alternative<admission::run_now>(decision))
        {
            run(n, id);
            return;
        }
        auto const& queued = std::get<admission::wait_in_queue>(decision);
        if (queued.m_evicted)
        {
            auto const evicted = each.m_requests.at(*queued.m_evicted);
            each.m_requests.erase(*queued.m_evicted);
            on_refused(evicted, n, {});
        }
    }

    void on_refused(request_ptr const& sent, std::size_t n, duration wait)
    {
        auto& view = m_ingresses.at(sent->m_ingress).m_views.at(n);
        view.on_ended();
        sent->m_refused.at(n) = true;
        sent->m_wait = wait;
        sent->m_full_gates.count(view, m_now);
        view.on_full(wait, m_now);
        place(sent);
    }

    void start_waiting(std::size_t n)
    {
        auto& each = m_gates.at(n);
        while (auto const id = each.m_queue.start_next(m_now))
        {
            run(n, *id);
        }
    }

    void run(std::size_t n, std::uint64_t id)
    {
        auto& each = m_gates.at(n);
        auto const sent = each.m_requests.at(id);
        each.m_requests.erase(id);
        auto const took = time_at(n, *sent);
        at(m_now + took,
           [this, n, id, sent]
           {
               m_gates.at(n).m_queue.finish(id, m_now);
               start_waiting(n);
               m_ingresses.at(sent->m_ingress).m_views.at(n).on_ended();
               answer(sent);
           });
    }

    void answer(request_ptr const& sent)
    {
        auto const took = m_now - sent->m_first_at;
        if (took > deadline)
        {
            ++m_counts.m_failed;
            return;
        }
        ++(took <= objective ? m_counts.m_in_time : m_counts.m_late);
        m_windows[window_of(*sent)].m_in_time += took <= objective ? 1 : 0;
    }

    void refuse(request_ptr const& sent, duration expected)
    {
        if (sent->m_returns++ == max_returns)
        {
            ++m_counts.m_failed;
            return;
        }
        auto const after = retry::compute_retry_after(
            {.m_capacity_expected_in = expected,
             .m_usual_work = usual_work,
             .m_objective_left = sent->m_objective - m_now,
             .m_deadline_left = sent->m_first_at + deadline - m_now,
             .m_caller_left = sent->m_first_at + deadline - m_now},
            uniform());
        at(m_now + after,
           [this, sent]
           {
               send_from_caller(sent);
           });
    }

    static long window_of(request const& sent)
    {
        return (sent.m_first_at - start) / window_length;
    }

    static long second_of(time_point when)
    {
        return std::chrono::duration_cast<std::chrono::seconds>(when - start)
            .count();
    }

    policy m_policy;
    std::mt19937_64 m_random;
    time_point m_now = start;
    std::multimap<time_point, std::function<void()>> m_events;
    std::array<gate, gates> m_gates;
    std::array<ingress, ingresses> m_ingresses;
    std::vector<request_ptr> m_shared;
    std::array<std::uint32_t, gates> m_busy{};
    std::map<long, arrival_window> m_windows;
    std::map<long, std::size_t> m_caller_attempts;
    std::map<long, std::size_t> m_gate_attempts;
    outcome_counts m_counts;
};

std::string describe(outcome_counts const& counts)
{
    auto const share = [&counts](std::size_t part)
    {
        return std::to_string(
                   std::round(
                       1'000.0 * static_cast<double>(part) /
                       static_cast<double>(counts.m_requests)) /
                   1'000.0)
            .substr(0, 5);
    };
    return "in time " + share(counts.m_in_time) + ", late " +
           share(counts.m_late) + ", failed " + share(counts.m_failed) +
           ", caller attempts " + std::to_string(counts.m_caller_attempts) +
           ", gate attempts " + std::to_string(counts.m_gate_attempts) +
           ", most in a second " + std::to_string(counts.m_most_attempts) +
           ", normal after ms " + std::to_string(counts.m_normal_after / 1ms);
}

} // namespace

static outcome_counts replay_seeds(policy how)
{
    outcome_counts sum;
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        auto const one = replay{how, seed}.run();
        sum.m_requests += one.m_requests;
        sum.m_in_time += one.m_in_time;
        sum.m_late += one.m_late;
        sum.m_failed += one.m_failed;
        sum.m_caller_attempts += one.m_caller_attempts;
        sum.m_gate_attempts += one.m_gate_attempts;
        sum.m_most_attempts =
            std::max(sum.m_most_attempts, one.m_most_attempts);
        sum.m_normal_after = std::max(sum.m_normal_after, one.m_normal_after);
    }
    return sum;
}

static double share(std::size_t part, outcome_counts const& counts)
{
    return static_cast<double>(part) / static_cast<double>(counts.m_requests);
}

// For five seconds, 1.15 times as many requests arrive as the service can
// answer in time. Refused callers retry twice, and their retries compete with
// new requests.
TEST_CASE(
    "replay of a burst above the capacity: early refusals answer nearly as "
    "many requests in time as an oracle, with one attempt each")
{
    auto const searched = replay_seeds(policy::search);
    auto const refused = replay_seeds(policy::refuse_early);
    auto const oracle = replay_seeds(policy::oracle);
    MESSAGE("search: ", describe(searched));
    MESSAGE("refuse early: ", describe(refused));
    MESSAGE("oracle: ", describe(oracle));
    double const gap =
        share(oracle.m_in_time, oracle) - share(searched.m_in_time, searched);
    CHECK(
        share(refused.m_in_time, refused) >
        share(searched.m_in_time, searched) + gap / 2);
    CHECK(share(refused.m_failed, refused) < 0.05);
    CHECK(refused.m_most_attempts <= 1.2);
    CHECK(refused.m_normal_after <= 1s);
}
