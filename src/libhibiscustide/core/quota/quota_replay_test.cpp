// Replays the load of a fleet without a network: nodes with their owners and
// shares exchange messages with delays and losses, and each organisation's
// admitted requests are compared with the bound of a window and with what one
// central counter admits.
#include <hibiscustide/core/quota/quota_share.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include <doctest/doctest.h>

#include <hibiscustide/core/hash.hpp>

using hibiscustide::core::duration;
using hibiscustide::core::time_point;
using namespace hibiscustide::core::quota;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t organisation_count = 74;
constexpr std::size_t node_count = 64;
constexpr std::size_t domain_count = 4;
constexpr double total_demand = 670;
constexpr double limit_ratio = 1.6;
constexpr double peak_ratio = 7.8;
constexpr double loss = 0.005;
constexpr quota_options options{
    .m_window = 5s, .m_overage = 0.25, .m_slack = 20};

struct organisation
{
    std::string m_name;
    double m_usual = 0; ///< Requests per second.
    quota_limit m_limit;
    std::vector<time_point> m_admitted;
    std::size_t m_arrived = 0;
    std::unique_ptr<token_bucket> m_central;
    std::vector<time_point> m_central_admitted;
};

struct node
{
    explicit node(std::string const& address)
        : m_fleet{address},
          m_owner{options, m_fleet},
          m_share{options, m_fleet}
    {
    }

    quota_fleet m_fleet;
    quota_owner m_owner;
    quota_share m_share;
};

class replay
{
public:
    explicit replay(std::uint64_t seed)
        : m_random{seed}
    {
        double sum = 0;
        for (std::size_t n = 0; n < organisation_count; ++n)
        {
            sum += std::pow(static_cast<double>(n) + 1, -1.1);
        }
        for (std::size_t n = 0; n < organisation_count; ++n)
        {
            auto& each = m_organisations.emplace_back();
            each.m_name = "organisation-" + std::to_string(n);
            m_numbers[make_organisation_id(each.m_name)] = n;
            each.m_usual =
                total_demand / sum * std::pow(static_cast<double>(n) + 1, -1.1);
            each.m_limit = {
                .m_rate = each.m_usual * limit_ratio,
                .m_burst = std::max(4.0, each.m_usual)};
            each.m_central = std::make_unique<token_bucket>(
                each.m_limit.m_rate, each.m_limit.capacity(),
                each.m_limit.capacity(), m_now);
        }
        for (std::size_t n = 0; n < node_count; ++n)
        {
            m_addresses.push_back("10.0.0." + std::to_string(n + 1));
        }
        m_peaks.assign(organisation_count, 1);
        m_directories.assign(node_count, m_addresses);
        for (std::size_t n = 0; n < node_count; ++n)
        {
            m_nodes.emplace_back();
            start_node(n);
            at(m_now + 1ms * n,
               [this, n]
               {
                   send_status(n, 0);
               });
            at(m_now + 3ms * n,
               [this, n]
               {
                   update(n);
               });
        }
        for (std::size_t n = 0; n < organisation_count; ++n)
        {
            schedule_arrival(n);
        }
    }

    void at(time_point when, std::function<void()> run)
    {
        m_events.push(
            {.m_at = when, .m_number = m_next++, .m_run = std::move(run)});
    }

    void run_until(time_point end)
    {
        while (!m_events.empty() && m_events.top().m_at <= end)
        {
            auto const next = m_events.top();
            m_events.pop();
            m_now = next.m_at;
            next.m_run();
        }
    }

    void start_node(std::size_t n)
    {
        m_nodes[n] = std::make_shared<node>(m_addresses[n]);
        m_nodes[n]->m_fleet.set_nodes(m_directories[n], m_now);
    }

    void stop_node(std::size_t n)
    {
        m_nodes[n] = nullptr;
    }

    void set_directory(std::size_t n, std::vector<std::string> addresses)
    {
        m_directories[n] = std::move(addresses);
        if (m_nodes[n])
        {
            m_nodes[n]->m_fleet.set_nodes(m_directories[n], m_now);
            update_now(n);
        }
    }

    void set_limit(std::size_t n, quota_limit const& limit)
    {
        auto& each = m_organisations[n];
        each.m_limit = limit;
        each.m_central->set_limit(limit.m_rate, limit.capacity(), m_now);
        for (std::size_t i = 0; i < node_count; ++i)
        {
            update_now(i);
        }
    }

    // The largest number of requests over the bound in any window that begins
    // at or after `from`.
    [[nodiscard]] double excess(
        organisation const& each, time_point from = {}) const
    {
        double const window_s =
            std::chrono::duration<double>{options.m_window}.count();
        double const bound =
            (each.m_limit.m_rate * window_s + each.m_limit.m_burst) *
                (1 + options.m_overage) +
            options.m_slack;
        double max_excess = -bound;
        std::size_t first = 0;
        for (std::size_t last = 0; last < each.m_admitted.size(); ++last)
        {
            auto const when = each.m_admitted[last];
            while (each.m_admitted[first] < from ||
                   each.m_admitted[first] + options.m_window < when)
            {
                ++first;
                if (first > last)
                {
                    break;
                }
            }
            auto const count = static_cast<double>(last + 1 - first);
            max_excess = std::max(max_excess, count - bound);
        }
        return max_excess;
    }

    [[nodiscard]] double max_excess() const
    {
        double result = -1e9;
        for (auto const& each : m_organisations)
        {
            result = std::max(result, excess(each));
        }
        return result;
    }

    // The largest use of the bound by an organisation, as a share of it.
    [[nodiscard]] double max_use() const
    {
        double result = 0;
        for (auto const& each : m_organisations)
        {
            double const bound =
                (each.m_limit.m_rate * 5 + each.m_limit.m_burst) * 1.25 + 20;
            result = std::max(result, 1 + excess(each) / bound);
        }
        return result;
    }

    struct totals
    {
        double m_all = 0;   ///< Admitted, as a share of the central counter's.
        double m_small = 0; ///< Of the organisations below 3 requests/s.
        double m_worst = 0; ///< Of the organisation with the least share.
        std::size_t m_central = 0;
    };

    [[nodiscard]] totals admitted(time_point from, time_point to) const
    {
        auto const count = [from, to](std::vector<time_point> const& times)
        {
            return static_cast<double>(std::count_if(
                times.begin(), times.end(),
                [from, to](auto time)
                {
                    return time >= from && time < to;
                }));
        };
        double all = 0;
        double all_central = 0;
        double small = 0;
        double small_central = 0;
        double worst = 1;
        for (auto const& each : m_organisations)
        {
            auto const mine = count(each.m_admitted);
            auto const central = count(each.m_central_admitted);
            all += mine;
            all_central += central;
            if (each.m_usual < 3)
            {
                small += mine;
                small_central += central;
            }
            if (central >= 20)
            {
                worst = std::min(worst, mine / central);
            }
        }
        return {
            .m_all = all / all_central,
            .m_small = small / std::max(1.0, small_central),
            .m_worst = worst,
            .m_central = static_cast<std::size_t>(all_central)};
    }

    [[nodiscard]] std::string describe(
        std::string const& name, time_point from, time_point to) const
    {
        auto const result = admitted(from, to);
        std::array<char, 200> text{};
        std::snprintf(
            text.data(), text.size(),
            "%s: admitted %.3f, small organisations %.3f, worst one %.3f of "
            "%zu; bound used %.3f; messages %zu",
            name.c_str(), result.m_all, result.m_small, result.m_worst,
            result.m_central, max_use(), m_messages);
        return text.data();
    }

    std::vector<organisation> m_organisations;
    std::vector<double> m_peaks; ///< Demand, in multiples of the usual one.
    std::vector<std::string> m_addresses;
    std::vector<std::shared_ptr<node>> m_nodes; ///< Null: not running.
    bool m_is_partitioned = false;
    bool m_is_link_cut = false; ///< Between the first two failure domains.
    std::size_t m_cut_domains = 1;
    std::set<std::size_t> m_slow_nodes;
    bool m_is_slow = false; ///< Whether messages wait at the slow nodes.
    time_point m_now{1h};
    std::size_t m_messages = 0;

private:
    struct event
    {
        time_point m_at;
        std::uint64_t m_number;
        std::function<void()> m_run;

        friend bool operator<(event const& a, event const& b)
        {
            return a.m_at != b.m_at ? a.m_at > b.m_at : a.m_number > b.m_number;
        }
    };

    static std::size_t domain_of(std::size_t n)
    {
        return n % domain_count;
    }

    [[nodiscard]] bool is_cut(std::size_t a, std::size_t b) const
    {
        if (m_is_link_cut && domain_of(a) + domain_of(b) == 1)
        {
            return true;
        }
        return m_is_partitioned &&
               (domain_of(a) < m_cut_domains) != (domain_of(b) < m_cut_domains);
    }

    [[nodiscard]] double uniform()
    {
        return std::uniform_real_distribution<double>{0, 1}(m_random);
    }

    [[nodiscard]] duration delay(std::size_t a, std::size_t b)
    {
        auto const base = domain_of(a) == domain_of(b) ? 300us : 5'400us;
        return base +
               std::chrono::microseconds{static_cast<int>(uniform() * 500)};
    }

    // Delivers to the process that runs at the address on arrival.
    void send(std::size_t from, std::size_t to, std::function<void(node&)> run)
    {
        ++m_messages;
        if (from != to && (is_cut(from, to) || uniform() < loss))
        {
            return;
        }
        auto after = from == to ? duration{} : delay(from, to);
        if (from != to && m_is_slow && m_slow_nodes.contains(to))
        {
            after +=
                20ms + std::chrono::duration_cast<duration>(100ms * uniform());
        }
        at(m_now + after,
           [this, from, to, run = std::move(run)]
           {
               if (m_nodes[to] && !is_cut(from, to))
               {
                   run(*m_nodes[to]);
               }
           });
    }

    void send_status(std::size_t n, std::size_t round)
    {
        if (m_nodes[n])
        {
            for (std::size_t to = 0; to < node_count; ++to)
            {
                bool const is_near = domain_of(n) == domain_of(to);
                if (to != n && m_nodes[to] && !is_cut(n, to) &&
                    (is_near || round % 4 == 0) && uniform() >= loss)
                {
                    m_nodes[to]->m_fleet.on_status(m_addresses[n], true, m_now);
                }
            }
        }
        at(m_now + 375ms,
           [this, n, round]
           {
               send_status(n, round + 1);
           });
    }

    void update_now(std::size_t n)
    {
        if (!m_nodes[n])
        {
            return;
        }
        auto const limit_of = [this](organisation_id id)
        {
            return limit(id);
        };
        m_nodes[n]->m_owner.update(limit_of, m_now);
        ask_about_lost_nodes(n);
        m_nodes[n]->m_share.update(limit_of, m_now);
    }

    void ask_about_lost_nodes(std::size_t n)
    {
        auto const lost = m_nodes[n]->m_fleet.lost_nodes(m_now);
        if (lost.empty())
        {
            return;
        }
        constexpr std::size_t asked = 3;
        for (auto const& address :
             m_nodes[n]->m_fleet.nodes_in_reach(asked, m_random(), m_now))
        {
            auto const to = static_cast<std::size_t>(
                std::find(m_addresses.begin(), m_addresses.end(), address) -
                m_addresses.begin());
            send(
                n, to,
                [this, n, to, lost](node& receiver)
                {
                    auto const heard = receiver.m_fleet.heard_of(lost, m_now);
                    send(
                        to, n,
                        [this, heard](node& asking)
                        {
                            asking.m_fleet.on_heard_by_other(heard, m_now);
                        });
                });
        }
    }

    void update(std::size_t n)
    {
        update_now(n);
        at(m_now + 500ms,
           [this, n]
           {
               update(n);
           });
    }

    [[nodiscard]] quota_limit limit(organisation_id id) const
    {
        return m_organisations[m_numbers.at(id)].m_limit;
    }

    void schedule_arrival(std::size_t n)
    {
        auto const rate = m_organisations[n].m_usual * peak_ratio;
        std::exponential_distribution<double> next{rate};
        at(m_now + std::chrono::duration_cast<duration>(
                       std::chrono::duration<double>{next(m_random)}),
           [this, n]
           {
               schedule_arrival(n);
               // Thinning: the demand changes while an arrival is scheduled.
               if (uniform() * peak_ratio < m_peaks[n])
               {
                   arrive(n);
               }
           });
    }

    // Demand over nodes is skewed, and the favoured nodes differ between
    // organisations and change every 7 s.
    [[nodiscard]] std::size_t pick_node(std::size_t n)
    {
        auto const period = m_now.time_since_epoch() / 7s;
        auto const skewed =
            static_cast<std::size_t>(std::pow(uniform(), 2.0) * node_count);
        auto const offset =
            hibiscustide::core::hash_of(m_organisations[n].m_name, period);
        return (skewed + offset) % node_count;
    }

    void arrive(std::size_t n)
    {
        auto to = pick_node(n);
        for (std::size_t i = 0; i < node_count && !m_nodes[to]; ++i)
        {
            to = (to + 1) % node_count;
        }
        if (!m_nodes[to])
        {
            return;
        }
        auto& each = m_organisations[n];
        ++each.m_arrived;
        if (each.m_central->take(1, m_now) > 0)
        {
            each.m_central_admitted.push_back(m_now);
        }
        on_step(
            n, to, m_nodes[to],
            m_nodes[to]->m_share.acquire(
                make_organisation_id(each.m_name), each.m_limit, m_now));
    }

    void on_step(
        std::size_t n, std::size_t at_node, std::shared_ptr<node> const& self,
        quota_step const& step)
    {
        if (m_nodes[at_node] != self)
        {
            return; // The process has ended.
        }
        if (std::holds_alternative<quota_granted>(step))
        {
            m_organisations[n].m_admitted.push_back(m_now);
        }
        auto const* const wait = std::get_if<quota_wait>(&step);
        if (wait == nullptr)
        {
            return;
        }
        auto const sequence = wait->m_message.m_sequence;
        auto const key = std::pair{self.get(), sequence};
        m_waiting[key] = {.m_organisation = n, .m_until = wait->m_until};
        auto const to = static_cast<std::size_t>(
            std::find(m_addresses.begin(), m_addresses.end(), wait->m_to) -
            m_addresses.begin());
        send(
            at_node, to,
            [this, at_node, to, message = wait->m_message](node& receiver)
            {
                auto const reply = receiver.m_owner.on_request(
                    m_addresses[at_node], message,
                    limit(message.m_organisation), m_now);
                send(
                    to, at_node,
                    [this, at_node, to, reply](node&)
                    {
                        on_reply(at_node, to, reply);
                    });
            });
        at(wait->m_until,
           [this, at_node, self, sequence, until = wait->m_until]
           {
               auto const it = m_waiting.find({self.get(), sequence});
               if (it == m_waiting.end() || m_nodes[at_node] != self ||
                   it->second.m_until != until)
               {
                   return;
               }
               auto const context = it->second;
               m_waiting.erase(it);
               on_step(
                   context.m_organisation, at_node, self,
                   self->m_share.on_timeout(sequence, m_now));
           });
    }

    void on_reply(
        std::size_t at_node, std::size_t from, quota_grant const& reply)
    {
        auto const self = m_nodes[at_node];
        auto const step =
            self->m_share.on_grant(m_addresses[from], reply, m_now);
        auto const it = m_waiting.find({self.get(), reply.m_sequence});
        if (step && it != m_waiting.end())
        {
            auto const context = it->second;
            m_waiting.erase(it);
            on_step(context.m_organisation, at_node, self, *step);
        }
    }

    struct waiting
    {
        std::size_t m_organisation = 0;
        time_point m_until{};
    };

    std::mt19937_64 m_random;
    std::map<organisation_id, std::size_t> m_numbers;
    std::vector<std::vector<std::string>> m_directories;
    std::priority_queue<event> m_events;
    std::uint64_t m_next = 0;
    std::map<std::pair<node*, std::uint64_t>, waiting> m_waiting;
};

time_point const start{1h};

constexpr std::array<std::uint64_t, 2> seeds{1, 2};

void set_peaks(replay& fleet, double peak)
{
    std::fill(fleet.m_peaks.begin(), fleet.m_peaks.end(), peak);
}

} // namespace

TEST_CASE(
    "replay of quotas: without failures, 0.97 of what a central counter admits")
{
    for (auto const seed : seeds)
    {
        replay fleet{seed};
        fleet.at(
            start + 15s,
            [&]
            {
                fleet.m_peaks[3] = peak_ratio;
            });
        fleet.at(
            start + 30s,
            [&]
            {
                fleet.m_peaks[3] = 1;
            });
        fleet.at(
            start + 30s,
            [&]
            {
                fleet.m_peaks[40] = peak_ratio;
            });
        fleet.run_until(start + 45s);
        INFO(fleet.describe("no failure", start + 5s, start + 45s));
        CHECK(fleet.max_excess() <= 0);
        CHECK(fleet.admitted(start + 5s, start + 45s).m_all >= 0.97);
    }
}

TEST_CASE("replay of quotas: every organisation over its quota")
{
    for (auto const seed : seeds)
    {
        replay fleet{seed};
        fleet.at(
            start + 10s,
            [&]
            {
                set_peaks(fleet, peak_ratio);
            });
        fleet.run_until(start + 25s);
        INFO(fleet.describe("all over quota", start + 10s, start + 25s));
        CHECK(fleet.max_excess() <= 0);
        CHECK(fleet.admitted(start + 10s, start + 25s).m_all >= 0.97);
    }
}

// Leases and tokens of a node are lost with it, and organisations that it owns
// have no owner until other nodes notice.
TEST_CASE("replay of quotas: nodes that fail while they hold tokens")
{
    for (auto const peak : {1.0, peak_ratio})
    {
        for (auto const seed : seeds)
        {
            replay fleet{seed};
            fleet.m_peaks[3] = peak_ratio;
            fleet.at(
                start + 8s,
                [&]
                {
                    set_peaks(fleet, peak);
                });
            for (std::size_t n = 0; n < 8; ++n)
            {
                auto const victim = (n * 7 + 3) % node_count;
                auto const when = start + 10s + 700ms * n;
                fleet.at(
                    when,
                    [&, victim]
                    {
                        fleet.stop_node(victim);
                    });
                fleet.at(
                    when + 6s,
                    [&, victim]
                    {
                        fleet.start_node(victim);
                    });
            }
            fleet.run_until(start + 30s);
            INFO(fleet.describe(
                peak > 1 ? "nodes fail, all over quota" : "nodes fail",
                start + 10s, start + 22s));
            CHECK(fleet.max_excess() <= 0);
            CHECK(fleet.admitted(start + 10s, start + 22s).m_all >= 0.85);
        }
    }
}

// Datagrams wait at nodes that have a small share of their processor. Requests
// for tokens are sent again meanwhile, and each copy took tokens.
TEST_CASE("replay of quotas: owners are slow for 6 s")
{
    for (auto const peak : {1.0, peak_ratio})
    {
        for (auto const seed : seeds)
        {
            replay fleet{seed};
            fleet.m_peaks[3] = peak_ratio;
            for (std::size_t n = 0; n < 9; ++n)
            {
                fleet.m_slow_nodes.insert((n * 7 + 3) % node_count);
            }
            fleet.at(
                start + 8s,
                [&]
                {
                    set_peaks(fleet, peak);
                });
            fleet.at(
                start + 12s,
                [&]
                {
                    fleet.m_is_slow = true;
                });
            fleet.at(
                start + 18s,
                [&]
                {
                    fleet.m_is_slow = false;
                });
            fleet.run_until(start + 25s);
            INFO(fleet.describe(
                peak > 1 ? "slow owners, all over quota" : "slow owners",
                start + 12s, start + 18s));
            CHECK(fleet.max_excess() <= 0);
            CHECK(fleet.admitted(start + 12s, start + 18s).m_all >= 0.97);
            CHECK(fleet.admitted(start + 12s, start + 18s).m_worst >= 0.85);
        }
    }
}

// With the directory unchanged, and with the cut-off nodes removed from the
// directory of the others: then both sides have an owner.
TEST_CASE("replay of quotas: failure domains are cut off for 6 s")
{
    for (std::size_t const cut : {1U, 2U, 3U})
    {
        for (bool const is_removed : {false, true})
        {
            for (auto const peak : {1.0, peak_ratio})
            {
                {
                    replay fleet{cut};
                    fleet.m_cut_domains = cut;
                    fleet.m_peaks[3] = peak_ratio;
                    fleet.at(
                        start + 8s,
                        [&]
                        {
                            set_peaks(fleet, peak);
                        });
                    fleet.at(
                        start + 12s,
                        [&]
                        {
                            fleet.m_is_partitioned = true;
                        });
                    fleet.at(
                        start + 18s,
                        [&]
                        {
                            fleet.m_is_partitioned = false;
                        });
                    std::vector<std::string> rest;
                    for (std::size_t n = 0; n < node_count; ++n)
                    {
                        if (n % domain_count >= cut)
                        {
                            rest.push_back(fleet.m_addresses[n]);
                        }
                    }
                    for (std::size_t n = 0; n < node_count && is_removed; ++n)
                    {
                        if (n % domain_count < cut)
                        {
                            continue;
                        }
                        fleet.at(
                            start + 13'500ms + 1ms * n,
                            [&, n]
                            {
                                fleet.set_directory(n, rest);
                            });
                        fleet.at(
                            start + 18'500ms + 1ms * n,
                            [&, n]
                            {
                                fleet.set_directory(n, fleet.m_addresses);
                            });
                    }
                    fleet.run_until(start + 28s);
                    auto const name = "cut " + std::to_string(cut) + " of 4" +
                                      (is_removed ? ", removed" : "") +
                                      (peak > 1 ? ", all over quota" : "");
                    INFO(fleet.describe(name, start + 12s, start + 18s));
                    CHECK(fleet.max_excess() <= 0);
                    if (cut == 1)
                    {
                        CHECK(
                            fleet.admitted(start + 12s, start + 18s).m_all >=
                            0.85);
                    }
                }
            }
        }
    }
}

// Two failure domains do not reach each other, but both reach the others.
TEST_CASE("replay of quotas: the link between two failure domains is cut")
{
    for (auto const peak : {1.0, peak_ratio})
    {
        replay fleet{1};
        fleet.m_peaks[3] = peak_ratio;
        fleet.at(
            start + 8s,
            [&]
            {
                set_peaks(fleet, peak);
            });
        fleet.at(
            start + 12s,
            [&]
            {
                fleet.m_is_link_cut = true;
            });
        fleet.at(
            start + 18s,
            [&]
            {
                fleet.m_is_link_cut = false;
            });
        fleet.run_until(start + 28s);
        INFO(fleet.describe(
            peak > 1 ? "link cut, all over quota" : "link cut", start + 12s,
            start + 18s));
        CHECK(fleet.max_excess() <= 0);
        CHECK(fleet.admitted(start + 12s, start + 18s).m_all >= 0.85);
    }
}

// The burst must not be granted a second time by the new owners.
TEST_CASE("replay of quotas: all nodes are restarted at once")
{
    for (auto const peak : {1.0, peak_ratio})
    {
        for (auto const seed : seeds)
        {
            replay fleet{seed};
            fleet.m_peaks[3] = peak_ratio;
            fleet.at(
                start + 9s,
                [&]
                {
                    set_peaks(fleet, peak);
                });
            for (std::size_t n = 0; n < node_count; ++n)
            {
                fleet.at(
                    start + 10s,
                    [&, n]
                    {
                        fleet.stop_node(n);
                    });
                fleet.at(
                    start + 10'500ms + 5ms * n,
                    [&, n]
                    {
                        fleet.start_node(n);
                    });
            }
            fleet.run_until(start + 25s);
            INFO(fleet.describe(
                peak > 1 ? "all restarted, all over quota" : "all restarted",
                start + 10s, start + 16s));
            CHECK(fleet.max_excess() <= 0);
            CHECK(fleet.admitted(start + 10s, start + 16s).m_all >= 0.85);
        }
    }
}

TEST_CASE("replay of quotas: a quota is lowered and raised within a window")
{
    for (auto const seed : seeds)
    {
        replay fleet{seed};
        auto const usual = fleet.m_organisations[2].m_limit;
        quota_limit const low{
            .m_rate = usual.m_rate / 4, .m_burst = usual.m_burst / 4};
        fleet.m_peaks[2] = peak_ratio;
        fleet.at(
            start + 10s,
            [&]
            {
                fleet.set_limit(2, low);
            });
        fleet.at(
            start + 12s,
            [&]
            {
                fleet.set_limit(2, usual);
            });
        fleet.at(
            start + 15s,
            [&]
            {
                fleet.set_limit(2, low);
            });
        fleet.run_until(start + 25s);
        // Under the low limit, windows that begin after the last change.
        CHECK(fleet.excess(fleet.m_organisations[2], start + 15'300ms) <= 0);
        fleet.m_organisations[2].m_limit = usual;
        INFO(fleet.describe("lowered and raised", start + 10s, start + 25s));
        CHECK(fleet.max_excess() <= 0);
        CHECK(fleet.admitted(start + 10s, start + 25s).m_all >= 0.85);
    }
}
