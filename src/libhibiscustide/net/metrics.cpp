#include "net/metrics.hpp"

#include <sstream>
#include <string_view>

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include "net/failure_guard.hpp"
#include "net/replies.hpp"

namespace hibiscustide::net
{

namespace
{

namespace bh = boost::histogram;

constexpr std::array<std::string_view, 22> counter_names{
    "calls",
    "calls_answered",
    "calls_not_run",
    "calls_may_have_run",
    "attempts_local",
    "attempts_remote",
    "retries",
    "orders_started",
    "orders_replayed",
    "probes",
    "platform_reads",
    "peer_calls",
    "peer_bytes_sent",
    "peer_bytes_received",
    "notes_accepted",
    "notes_refused",
    "answers_mismatched",
    "quota_refused",
    "quota_granted",
    "quota_expired",
    "quota_fallback",
    "quota_returned",
};
static_assert(
    counter_names.size() ==
    static_cast<std::size_t>(counter::count_of_counters));

constexpr int latency_bins = 40;
constexpr double min_latency_s = 1e-5;
constexpr double max_latency_s = 100.0;

// Thread-safe, because several traffic threads increment the counters.
using atomic_count = bh::accumulators::count<std::uint64_t, true>;
using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto make_latency_histogram()
{
    return bh::make_histogram_with(
        bh::dense_storage<atomic_count>{},
        latency_axis{latency_bins, min_latency_s, max_latency_s});
}

using latency_histogram = decltype(make_latency_histogram());

double to_seconds(core::duration elapsed)
{
    return std::chrono::duration<double>(elapsed).count();
}

void write_histogram(
    std::ostream& out, std::string_view name, latency_histogram const& data)
{
    out << "# TYPE " << name << " histogram\n";
    std::uint64_t sum = data.at(-1).value();
    auto const& axis = data.axis();
    for (int bin = 0; bin < axis.size(); ++bin)
    {
        sum += data.at(bin).value();
        out << name << "_bucket{le=\"" << axis.bin(bin).upper() << "\"} " << sum
            << '\n';
    }
    sum += data.at(axis.size()).value();
    out << name << "_bucket{le=\"+Inf\"} " << sum << '\n';
    out << name << "_count " << sum << '\n';
}

} // namespace

struct metrics::histograms
{
    latency_histogram m_calls = make_latency_histogram();
    latency_histogram m_target = make_latency_histogram();
};

metrics::metrics()
    : m_histograms{std::make_unique<histograms>()}
{
}

metrics::~metrics() = default;

void metrics::add(counter which, std::uint64_t amount) noexcept
{
    m_counters[static_cast<std::size_t>(which)].fetch_add(
        amount, std::memory_order_relaxed);
}

std::uint64_t metrics::value(counter which) const noexcept
{
    return m_counters[static_cast<std::size_t>(which)].load(
        std::memory_order_relaxed);
}

void metrics::observe_call(core::verdict const& verdict, core::duration elapsed)
{
    add(counter::calls);
    m_histograms->m_calls(to_seconds(elapsed));
    auto const why = reason_of(verdict);
    if (!why)
    {
        add(counter::calls_answered);
        return;
    }
    bool const not_run = std::holds_alternative<core::refused_not_run>(verdict);
    add(not_run ? counter::calls_not_run : counter::calls_may_have_run);
    m_reasons[static_cast<std::size_t>(*why)].fetch_add(
        1, std::memory_order_relaxed);
}

void metrics::observe_target(core::duration elapsed)
{
    m_histograms->m_target(to_seconds(elapsed));
}

void metrics::add_key_refusal(core::directory::key_refusal why) noexcept
{
    m_key_refusals.at(static_cast<std::size_t>(why))
        .fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t metrics::key_refusals(
    core::directory::key_refusal why) const noexcept
{
    return m_key_refusals.at(static_cast<std::size_t>(why))
        .load(std::memory_order_relaxed);
}

std::string metrics::to_text() const
{
    std::ostringstream out;
    for (std::size_t n = 0; n < counter_count; ++n)
    {
        out << "# TYPE hibiscustide_" << counter_names[n] << "_total counter\n"
            << "hibiscustide_" << counter_names[n] << "_total "
            << m_counters[n].load(std::memory_order_relaxed) << '\n';
    }
    out << "# TYPE hibiscustide_handler_failures_total counter\n"
        << "hibiscustide_handler_failures_total " << failure_count() << '\n'
        << "# TYPE hibiscustide_not_answered_total counter\n";
    for (std::size_t n = 0; n < max_reasons; ++n)
    {
        auto const count = m_reasons[n].load(std::memory_order_relaxed);
        if (count > 0)
        {
            out << "hibiscustide_not_answered_total{reason=\""
                << core::to_string(static_cast<core::reason>(n)) << "\"} "
                << count << '\n';
        }
    }
    out << "# TYPE hibiscustide_key_refusals_total counter\n";
    for (std::size_t n = 0; n < core::directory::key_refusal_count; ++n)
    {
        auto const why = static_cast<core::directory::key_refusal>(n);
        out << "hibiscustide_key_refusals_total{reason=\""
            << core::directory::to_string(why) << "\"} " << key_refusals(why)
            << '\n';
    }
    write_histogram(out, "hibiscustide_call_seconds", m_histograms->m_calls);
    write_histogram(out, "hibiscustide_target_seconds", m_histograms->m_target);
    return out.str();
}

Json::Value metrics::to_json() const
{
    Json::Value value{Json::objectValue};
    for (std::size_t n = 0; n < counter_count; ++n)
    {
        value[std::string{counter_names[n]}] =
            Json::UInt64{m_counters[n].load(std::memory_order_relaxed)};
    }
    value["handler_failures"] = Json::UInt64{failure_count()};
    auto& not_answered = value["not_answered"] = Json::Value{Json::objectValue};
    for (std::size_t n = 0; n < max_reasons; ++n)
    {
        auto const count = m_reasons[n].load(std::memory_order_relaxed);
        if (count > 0)
        {
            std::string const name{
                core::to_string(static_cast<core::reason>(n))};
            not_answered[name] = Json::UInt64{count};
        }
    }
    for (std::size_t n = 0; n < core::directory::key_refusal_count; ++n)
    {
        auto const why = static_cast<core::directory::key_refusal>(n);
        if (auto const count = key_refusals(why); count > 0)
        {
            std::string const name{core::directory::to_string(why)};
            value["key_refusals"][name] = Json::UInt64{count};
        }
    }
    return value;
}

} // namespace hibiscustide::net
