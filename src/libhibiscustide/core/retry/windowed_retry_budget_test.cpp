#include <hibiscustide/core/retry/windowed_retry_budget.hpp>

#include <deque>

#include <doctest/doctest.h>

using hibiscustide::core::time_point;
using hibiscustide::core::retry::retry_cause;
using hibiscustide::core::retry::windowed_retry_budget;
using namespace std::chrono_literals;

namespace
{

time_point const start{1h};

} // namespace

TEST_CASE("without requests, only the slack can be withdrawn")
{
    windowed_retry_budget budget{{.m_ratio = 0.2, .m_slack = 2}};
    CHECK(budget.try_withdraw(retry_cause::not_run, start));
    CHECK(budget.try_withdraw(retry_cause::not_run, start));
    CHECK_FALSE(budget.try_withdraw(retry_cause::not_run, start));
    CHECK(budget.try_withdraw(retry_cause::not_run, start + 11s));
}

TEST_CASE("replay of a retry storm: no window exceeds ratio x requests + slack")
{
    constexpr double ratio = 0.2;
    constexpr double slack = 5;
    windowed_retry_budget budget{{.m_ratio = ratio, .m_slack = slack}};
    std::deque<time_point> requests;
    std::deque<time_point> retries;
    for (auto now = start; now < start + 60s; now += 10ms)
    {
        // The load falls to a tenth after twenty seconds, while a retry is
        // attempted at every step.
        bool const arrives = now < start + 20s || (now - start) % 100ms == 0ms;
        if (arrives)
        {
            budget.deposit(now);
            requests.push_back(now);
        }
        if (budget.try_withdraw(retry_cause::not_run, now))
        {
            retries.push_back(now);
        }
        while (!retries.empty() && retries.front() + 10s < now)
        {
            retries.pop_front();
        }
        // Requests of the current and of the previous window count.
        while (!requests.empty() && requests.front() + 20s < now)
        {
            requests.pop_front();
        }
        CHECK(retries.size() <= ratio * requests.size() + slack);
    }
}

TEST_CASE(
    "retries of requests that may have run leave a share of the budget to "
    "requests that did not run")
{
    windowed_retry_budget budget{{.m_ratio = 0.2, .m_slack = 4}};
    CHECK(budget.try_withdraw(retry_cause::may_have_run, start));
    CHECK(budget.try_withdraw(retry_cause::may_have_run, start));
    CHECK_FALSE(budget.try_withdraw(retry_cause::may_have_run, start));
    CHECK(budget.try_withdraw(retry_cause::not_run, start));
    CHECK(budget.try_withdraw(retry_cause::not_run, start));
    CHECK_FALSE(budget.try_withdraw(retry_cause::not_run, start));
}
