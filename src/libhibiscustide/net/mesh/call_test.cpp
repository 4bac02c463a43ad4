#include "net/mesh/call.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "net/clock.hpp"
#include "net/mesh/frame_stream.hpp"
#include "net/socket.hpp"

namespace asio = hibiscustide::net::asio;
namespace core = hibiscustide::core;
namespace directory = core::directory;
namespace mesh = hibiscustide::net::mesh;
namespace net = hibiscustide::net;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace
{

// No other test listens on these loopback addresses.
constexpr char const* own_address = "127.16.0.10";
constexpr char const* first_gate = "127.16.0.11";
constexpr char const* second_gate = "127.16.0.12";
constexpr char const* third_gate = "127.16.0.13";
constexpr std::uint16_t peer_port = 7'014;
constexpr char const* service = "records";
constexpr milliseconds tick{20};

// What a gate does with a request.
struct gate_plan
{
    mesh::outcome m_outcome = mesh::outcome::answered;
    core::reason m_reason = core::reason::queue_full;
    std::uint32_t m_status = 200;
    milliseconds m_delay{0};
    int m_copies = 1;      ///< Results that are sent.
    bool m_closes = false; ///< Whether the connection ends before the result.
};

// The text by which a gate answers a request.
std::string answer_of(std::string const& gate, std::string const& attempt)
{
    return gate + " answers " + attempt;
}

// A gate that follows plans, and keeps its results for senders that reconnect.
class planned_gate
{
public:
    using planner = std::function<gate_plan(std::string const& attempt)>;

    planned_gate(asio::io_context& context, std::string address, planner plan)
        : m_context{context},
          m_address{std::move(address)},
          m_plan{std::move(plan)},
          m_acceptor{context}
    {
        REQUIRE_FALSE(net::open_listener(
            m_acceptor, {.m_address = m_address, .m_port = peer_port}, false));
        asio::co_spawn(context, accept_loop(), asio::detached);
    }

    [[nodiscard]] std::size_t arrivals_of(std::string const& attempt) const
    {
        return static_cast<std::size_t>(
            std::count(m_arrived.begin(), m_arrived.end(), attempt));
    }

    // Whether the request has run, or may have run, at the target.
    [[nodiscard]] bool may_have_run(std::string const& attempt) const
    {
        return m_run.contains(attempt);
    }

    std::vector<std::string> m_arrived;

private:
    net::awaitable<void> accept_loop()
    {
        while (true)
        {
            auto [error, socket] =
                co_await m_acceptor.async_accept(net::no_throw);
            if (error)
            {
                co_return;
            }
            m_stream = std::make_shared<mesh::frame_stream>(std::move(socket));
            m_stream->start(
                [this](mesh::message&& value)
                {
                    on_message(value);
                },
                [] {});
            mesh::hello const greeting{.m_node = m_address, .m_incarnation = 1};
            m_stream->send(greeting);
        }
    }

    void on_message(mesh::message const& value)
    {
        if (auto const* const request = std::get_if<mesh::run_request>(&value))
        {
            m_arrived.push_back(request->m_attempt);
            asio::co_spawn(m_context, run(*request), asio::detached);
        }
        else if (
            auto const* const resume =
                std::get_if<mesh::resume_requests>(&value))
        {
            for (auto const id : resume->m_ids)
            {
                if (m_results.contains(id))
                {
                    m_stream->send(m_results[id]);
                }
            }
        }
    }

    net::awaitable<void> run(mesh::run_request request)
    {
        auto const plan = m_plan(request.m_attempt);
        bool const is_run = plan.m_outcome != mesh::outcome::not_run;
        if (is_run)
        {
            m_run.insert(request.m_attempt);
        }
        asio::steady_timer timer{m_context, plan.m_delay};
        co_await timer.async_wait(net::no_throw);
        mesh::run_result result{
            .m_id = request.m_id,
            .m_outcome = plan.m_outcome,
            .m_reason = plan.m_reason,
            .m_reached_target = is_run,
            .m_status = plan.m_status};
        if (plan.m_outcome == mesh::outcome::answered)
        {
            result.m_body = answer_of(m_address, request.m_attempt);
        }
        m_results[request.m_id] = result;
        if (plan.m_closes)
        {
            m_stream->close();
            co_return;
        }
        for (int n = 0; n < plan.m_copies; ++n)
        {
            m_stream->send(result);
        }
    }

    asio::io_context& m_context;
    std::string m_address;
    planner m_plan;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<mesh::frame_stream> m_stream;
    std::map<std::uint64_t, mesh::run_result> m_results;
    std::set<std::string> m_run;
};

directory::directory_ptr make_directory(std::vector<std::string> const& nodes)
{
    directory::configuration config{
        .m_version = 1,
        .m_services = {{.m_name = service, .m_health_path = "/health"}}};
    std::vector<directory::target> targets;
    targets.reserve(nodes.size());
    for (auto const& each : nodes)
    {
        targets.push_back(
            {.m_instance = "i-" + each,
             .m_service = service,
             .m_address = {.m_address = each, .m_port = 7'003},
             .m_failure_domain = "other",
             .m_slots = 64});
    }
    return std::make_shared<directory::directory const>(
        std::make_shared<directory::configuration const>(std::move(config)),
        std::move(targets), std::set<std::string>{});
}

struct ended_call
{
    std::string m_attempt;
    bool m_idempotent = false;
    std::vector<mesh::call_result> m_results;
};

struct fixture
{
    explicit fixture(std::uint64_t seed = 1)
        : m_random{seed}
    {
        m_budget->set_slack(10'000);
    }

    void run_for(milliseconds span)
    {
        m_context.restart();
        m_context.run_for(span);
    }

    void report(
        std::string const& address, core::time_point at,
        std::uint32_t running = 0)
    {
        mesh::node_status const status{
            .m_incarnation = 1,
            .m_sequence = ++m_last_report,
            .m_target = {.m_running = running, .m_slots = 64}};
        m_nodes.on_status(address, status, at);
    }

    std::shared_ptr<ended_call> start(
        std::string const& attempt, bool idempotent, std::uint32_t max_targets)
    {
        auto const now = net::clock_now();
        auto started = std::make_shared<mesh::call>(
            m_environment, mesh::call_options{
                               .m_request =
                                   {.m_attempt = attempt,
                                    .m_service = service,
                                    .m_method = "GET",
                                    .m_path = "/x",
                                    .m_work_ms = 5,
                                    .m_idempotent = idempotent},
                               .m_route =
                                   {.m_idempotent = idempotent,
                                    .m_latency_objective = 800ms,
                                    .m_max_targets = max_targets},
                               .m_began_at = now,
                               .m_objective = now + 800ms,
                               .m_deadline = now + 2s,
                               .m_usual_work = 5ms,
                               .m_retry_budget = m_budget});
        auto end = std::make_shared<ended_call>();
        end->m_attempt = attempt;
        end->m_idempotent = idempotent;
        m_calls.push_back(started);
        asio::co_spawn(m_context, await_end(started, end), asio::detached);
        return end;
    }

    static net::awaitable<void> await_end(
        std::shared_ptr<mesh::call> started, std::shared_ptr<ended_call> end)
    {
        auto result = co_await started->run();
        end->m_results.push_back(std::move(result));
    }

    void run_with_ticks(milliseconds span)
    {
        auto const end = net::clock_now() + span;
        while (net::clock_now() < end)
        {
            run_for(tick);
            auto const calls = m_calls;
            for (auto const& each : calls)
            {
                each->on_tick(net::clock_now());
            }
        }
    }

    asio::io_context m_context;
    std::mt19937_64 m_random;
    mesh::protocol m_protocol{
        .m_read_caller =
            [](auto const&)
        {
            return mesh::caller_fields{};
        },
        .m_write_target = [](auto&, auto const&) {},
        .m_read_answer =
            [](auto const&)
        {
            return mesh::answer_fields{};
        },
        .m_read_health =
            [](auto const&)
        {
            return core::admission::health_answer{};
        },
        .m_write_attempt = [](auto&, auto const&) {},
        .m_is_hop_by_hop =
            [](auto)
        {
            return false;
        },
        .m_ready_path = "/ready"};
    core::admission::poison_request_detector m_detector;
    net::metrics m_counts;
    mesh::target_gate m_gate{
        m_context,
        {.m_target = {.m_address = own_address, .m_port = 1}},
        m_protocol,
        m_detector,
        m_counts};
    mesh::node_table m_nodes{
        m_context,
        {.m_address = own_address,
         .m_failure_domain = "one",
         .m_port = peer_port,
         .m_incarnation = 77,
         .m_on_changes = [](auto const&, auto&&) {}}};
    mesh::call_environment m_environment{
        .m_context = m_context,
        .m_nodes = m_nodes,
        .m_gate = m_gate,
        .m_counts = m_counts,
        .m_random = m_random,
        .m_stop = std::nullopt};
    std::shared_ptr<core::retry::windowed_retry_budget> m_budget =
        std::make_shared<core::retry::windowed_retry_budget>(
            core::retry::windowed_retry_budget_options{});
    std::vector<std::shared_ptr<mesh::call>> m_calls;
    std::uint64_t m_last_report = 0;
};

gate_plan random_plan(std::mt19937_64& random)
{
    static constexpr std::array reasons{
        core::reason::queue_full, core::reason::draining,
        core::reason::target_down};
    gate_plan plan{
        .m_delay = milliseconds{random() % 10 == 0 ? 400 : random() % 60},
        .m_copies = random() % 3 == 0 ? 2 : 1,
        .m_closes = random() % 40 == 0};
    auto const kind = random() % 10;
    if (kind < 3)
    {
        plan.m_outcome = mesh::outcome::not_run;
        plan.m_reason = reasons.at(random() % reasons.size());
    }
    else if (kind == 3)
    {
        plan.m_outcome = mesh::outcome::may_have_run;
        plan.m_reason = core::reason::connection_broken;
    }
    else if (kind < 6)
    {
        plan.m_status = 500;
    }
    return plan;
}

// Checks the end of a call against what the gates did with its request.
void check(
    ended_call const& ended,
    std::map<std::string, std::unique_ptr<planned_gate>> const& gates,
    std::uint32_t max_targets)
{
    CAPTURE(ended.m_attempt);
    REQUIRE(ended.m_results.size() == 1);
    auto const& result = ended.m_results.front().m_result;
    std::size_t runs = 0;
    for (auto const& [address, gate] : gates)
    {
        bool const is_run = gate->may_have_run(ended.m_attempt);
        runs += is_run ? 1 : 0;
        CHECK((!is_run || result.m_outcome != mesh::outcome::not_run));
    }
    CHECK(runs <= (ended.m_idempotent ? max_targets : 1));
    if (result.m_outcome != mesh::outcome::answered)
    {
        CHECK(result.m_body.empty());
        return;
    }
    auto const is_answer_of = [&](auto const& entry)
    {
        return result.m_body == answer_of(entry.first, ended.m_attempt);
    };
    auto const it = std::find_if(gates.begin(), gates.end(), is_answer_of);
    REQUIRE(it != gates.end());
    CHECK(it->second->may_have_run(ended.m_attempt));
}

} // namespace

TEST_CASE("a call ends with a result of its own attempts and is refused only "
          "if none of them has run")
{
    constexpr int calls = 200;
    constexpr std::uint32_t max_targets = 2;
    for (std::uint64_t const seed : {1})
    {
        CAPTURE(seed);
        fixture test{seed};
        std::map<std::string, std::unique_ptr<planned_gate>> gates;
        std::mt19937_64 plans{seed};
        std::vector<std::string> const addresses{
            first_gate, second_gate, third_gate};
        for (auto const& each : addresses)
        {
            gates[each] = std::make_unique<planned_gate>(
                test.m_context, each,
                [&plans](std::string const&)
                {
                    return random_plan(plans);
                });
        }
        test.m_nodes.set_directory(make_directory(addresses));
        std::vector<std::shared_ptr<ended_call>> ended;
        for (int n = 0; n < calls; ++n)
        {
            for (auto const& each : addresses)
            {
                test.report(each, net::clock_now());
            }
            ended.push_back(test.start(
                fmt::format("call-{}", n), test.m_random() % 2 == 0,
                max_targets));
            if (n % 5 == 0)
            {
                test.run_with_ticks(tick);
            }
        }
        auto const limit = net::clock_now() + 4s;
        auto const has_pending = [&ended]
        {
            return std::any_of(
                ended.begin(), ended.end(),
                [](auto const& each)
                {
                    return each->m_results.empty();
                });
        };
        while (has_pending() && net::clock_now() < limit)
        {
            test.run_with_ticks(tick);
        }
        // Late results.
        test.run_with_ticks(450ms);
        for (auto const& each : ended)
        {
            check(*each, gates, max_targets);
        }
    }
}

// The entry of a node without a recent status is removed with its target, and
// another one is created when the target registers again. A late copy of the
// first answer would pass for the answer to a second sending with the same id.
TEST_CASE("a request that a gate has failed is not sent to it again after the "
          "entry of its node was created again")
{
    // Removed at once, but not stale yet.
    constexpr milliseconds status_age{3'200};
    fixture test;
    planned_gate failing{
        test.m_context, first_gate,
        [](auto const&)
        {
            return gate_plan{.m_status = 500};
        }};
    planned_gate refusing{
        test.m_context, second_gate,
        [](auto const&)
        {
            return gate_plan{
                .m_outcome = mesh::outcome::not_run,
                .m_reason = core::reason::draining,
                .m_delay = 150ms};
        }};
    auto const both = make_directory({first_gate, second_gate});
    test.m_nodes.set_directory(both);
    test.report(first_gate, net::clock_now() - status_age);
    test.report(second_gate, net::clock_now(), 32);
    auto const ended = test.start("again-1", true, 3);
    test.run_for(60ms);
    REQUIRE(failing.arrivals_of("again-1") == 1);
    REQUIRE(refusing.arrivals_of("again-1") == 1);
    auto const first_entry = test.m_nodes.find(first_gate);
    test.m_nodes.set_directory(make_directory({second_gate}));
    test.m_nodes.set_directory(both);
    REQUIRE(test.m_nodes.find(first_gate) != first_entry);
    test.run_with_ticks(300ms);
    CHECK(failing.arrivals_of("again-1") == 1);
    REQUIRE(ended->m_results.size() == 1);
    CHECK(ended->m_results.front().m_result.m_status == 500);
}
