#include <hibiscustide/core/admission/contention_model.hpp>

#include <functional>
#include <map>
#include <random>

#include <doctest/doctest.h>

using hibiscustide::core::duration;
using hibiscustide::core::time_point;
using hibiscustide::core::admission::contention_model;
using namespace std::chrono_literals;

namespace
{

time_point const start{1h};
constexpr std::uint32_t slots = 18;

// Factor of the processing time at a number of running requests.
using slowdown = std::function<double(std::uint32_t running)>;

double no_contention(std::uint32_t /*running*/)
{
    return 1.0;
}

// A target that is slower while more than 80 % of its slots are in use.
double slow_when_nearly_full(std::uint32_t running)
{
    return running > slots * 0.8 ? 1.7 : 1.0;
}

// A target under a burst: whenever it may start a request, one is waiting.
// Returns the number of requests that it answers within the time.
std::size_t answers_in_burst(
    duration length, slowdown const& factor, bool use_model,
    contention_model& model)
{
    std::mt19937_64 random{7};
    std::lognormal_distribution<double> work{0.0, 0.3};
    struct running_request
    {
        double m_ratio = 1;
        std::uint32_t m_running_at_start = 0;
    };
    std::multimap<time_point, running_request> running;
    std::size_t answers = 0;
    auto now = start;
    while (now < start + length)
    {
        auto const limit =
            use_model ? model.best_concurrency(slots, now) : slots;
        while (running.size() < limit)
        {
            auto const count = static_cast<std::uint32_t>(running.size() + 1);
            double const ratio = work(random) * factor(count);
            auto const took =
                std::chrono::duration_cast<duration>(220ms * ratio);
            running.emplace(now + took, running_request{ratio, count});
        }
        auto const first = running.begin();
        now = first->first;
        model.on_answered(
            first->second.m_running_at_start, slots, first->second.m_ratio,
            now);
        running.erase(first);
        ++answers;
    }
    return answers;
}

} // namespace

TEST_CASE("without measurements, a few slots are left free")
{
    contention_model const model;
    CHECK(model.best_concurrency(slots, start) == 16);
    CHECK(model.best_concurrency(1, start) == 1);
    CHECK_FALSE(model.measured_share(start).has_value());
}

TEST_CASE(
    "a target whose processing time does not depend on its load keeps all "
    "slots")
{
    contention_model model;
    answers_in_burst(20s, no_contention, true, model);
    CHECK(model.best_concurrency(slots, start + 20s) == slots);
}

// The target is slower while it is nearly full, and a burst fills it at once.
TEST_CASE(
    "replay of a burst: a target that slows down when nearly full answers "
    "more requests at the learned concurrency than with all slots")
{
    contention_model model;
    contention_model ignored;
    auto const learned =
        answers_in_burst(10s, slow_when_nearly_full, true, model);
    auto const all_slots =
        answers_in_burst(10s, slow_when_nearly_full, false, ignored);
    MESSAGE("answers with all slots ", all_slots, ", learned ", learned);
    // At 14 of 18 slots the target could answer 14 / (18 / 1.7) = 1.32 times as
    // many requests.
    CHECK(learned > all_slots * 1.25);
    CHECK(model.best_concurrency(slots, start + 10s) == 14);
}

// Calls that the requests make are slow for a while: each request takes twice
// as long, whatever the concurrency.
TEST_CASE("slow calls at high load lower the concurrency by a bounded amount")
{
    contention_model model;
    for (int n = 0; n < 200; ++n)
    {
        model.on_answered(10, slots, 1.0, start + n * 10ms);
    }
    for (int n = 0; n < 200; ++n)
    {
        model.on_answered(slots, slots, 2.0, start + 2s + n * 10ms);
    }
    auto const limit = model.best_concurrency(slots, start + 4s);
    CHECK(limit >= slots * contention_model::min_share - 1);
}

TEST_CASE("a concurrency that was too high is tried again after some time")
{
    contention_model model;
    answers_in_burst(10s, slow_when_nearly_full, true, model);
    REQUIRE(model.best_concurrency(slots, start + 10s) < slots);
    CHECK(model.best_concurrency(slots, start + 100s) > 14);
}

// Only some gates have been fully loaded before the burst.
TEST_CASE("a gate without measurements uses those of the service's other gates")
{
    contention_model model;
    model.set_share_of_peers(0.8);
    CHECK_FALSE(model.measured_share(start).has_value());
    CHECK(model.best_concurrency(slots, start) == 14);
    model.set_share_of_peers(std::nullopt);
    CHECK(model.best_concurrency(slots, start) == 16);
}

TEST_CASE("a gate's own measurements go before those of other gates")
{
    contention_model model;
    answers_in_burst(20s, no_contention, true, model);
    model.set_share_of_peers(0.8);
    CHECK(model.best_concurrency(slots, start + 20s) == slots);
}
