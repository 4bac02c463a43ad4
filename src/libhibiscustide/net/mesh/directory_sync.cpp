#include "net/mesh/directory_sync.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using core::observe::event;
using std::chrono::milliseconds;

// One call that waits; short enough that a reader whose calls go unanswered is
// replaced in time.
constexpr milliseconds watch_wait{2'500};

// After a failure, so that the return is noticed when it happens.
constexpr milliseconds return_check{50};

// A reader is one whose service has answered within this time.
constexpr milliseconds reads_for{3'300};

// Others are told for this long that the service was away.
constexpr milliseconds returned_for{1'500};

// Between two reads that brought something, so that changes that come close
// together are read together.
constexpr milliseconds read_pause{300};

// Between two questions to the nodes from the settings.
constexpr milliseconds seed_check{60};

constexpr milliseconds duty_check{100};
constexpr milliseconds expire_interval{100};
constexpr milliseconds first_retry{80};
constexpr std::uint32_t max_doublings = 6;

} // namespace

directory_sync::directory_sync(
    asio::io_context& context, directory_sync_options options, publisher from,
    metrics& counts)
    : m_context{context},
      m_options{std::move(options)},
      m_from{std::move(from)},
      m_counts{counts},
      m_duty{m_options.m_address},
      m_view{m_state.snapshot()}
{
}

void directory_sync::start()
{
    asio::co_spawn(m_context, read_loop(), asio::detached);
    asio::co_spawn(m_context, expire_loop(), asio::detached);
}

void directory_sync::on_peer(std::string const& address, bool reads)
{
    m_duty.on_peer(address, reads, clock_now());
}

bool directory_sync::is_outranked_by(std::string const& address) const noexcept
{
    return m_duty.is_outranked_by(address);
}

void directory_sync::on_peer_reported_recovery()
{
    m_state.on_peer_reported_recovery(clock_now());
}

void directory_sync::on_changes(core::directory::item_changes const& changes)
{
    apply(changes);
}

core::directory::item_changes directory_sync::changes_after(
    std::uint64_t revision) const
{
    return m_replica.changes_after(revision);
}

Json::Value directory_sync::to_json() const
{
    Json::Value value{Json::objectValue};
    value["revision"] = Json::UInt64{m_replica.revision()};
    value["version"] = Json::UInt64{m_state.version()};
    value["reads"] = m_told.m_reads;
    value["targets"] = Json::UInt64{m_view->targets().size()};
    return value;
}

awaitable<void> directory_sync::read_loop()
{
    co_await hear_from_seeds();
    while (true)
    {
        bool const knows = m_replica.revision() > 0;
        if (knows && !m_duty.should_read(clock_now()))
        {
            co_await pause(duty_check);
            continue;
        }
        read_outcome read;
        m_counts.add(counter::platform_reads);
        if (!knows || m_lost_history)
        {
            read = co_await m_from.m_read_all();
        }
        else
        {
            auto const wait = m_failures > 0 ? return_check : watch_wait;
            read = co_await m_from.m_watch(m_replica.revision(), wait);
        }
        if (auto const* const changes =
                std::get_if<core::directory::item_changes>(&read))
        {
            on_read(*changes);
            if (!changes->m_items.empty())
            {
                co_await pause(read_pause);
            }
        }
        else if (std::holds_alternative<history_lost>(read))
        {
            log_event(
                event::history_lost, {{"revision", static_cast<std::int64_t>(
                                                       m_replica.revision())}});
            m_lost_history = true;
        }
        else
        {
            on_failure(std::get<read_failed>(read).m_reason);
            auto const doublings =
                std::min<std::uint32_t>(m_failures, max_doublings) - 1;
            co_await pause(std::min(
                first_retry * (1 << doublings),
                m_duty.max_retry_delay(clock_now())));
        }
    }
}

// A node that starts among others spares the service.
awaitable<void> directory_sync::hear_from_seeds()
{
    if (m_options.m_is_seed)
    {
        co_return;
    }
    auto const until = clock_now() + m_options.m_seed_timeout;
    while (m_replica.revision() == 0 && clock_now() < until)
    {
        m_options.m_query_seeds();
        co_await pause(seed_check);
    }
}

awaitable<void> directory_sync::expire_loop()
{
    while (true)
    {
        co_await pause(expire_interval);
        static_cast<void>(m_state.expire(clock_now()));
        publish();
    }
}

awaitable<void> directory_sync::pause(core::duration span)
{
    asio::steady_timer timer{m_context, span};
    co_await timer.async_wait(no_throw);
}

void directory_sync::on_read(core::directory::item_changes const& changes)
{
    auto const now = clock_now();
    m_read_at = now;
    m_lost_history = m_lost_history && !changes.m_complete;
    if (m_failures > 0)
    {
        log_event(
            event::platform_reachable,
            {{"failures", static_cast<std::int64_t>(m_failures)}});
        m_failures = 0;
        if (m_state.on_service_recovered(m_failed_at, now))
        {
            m_recovered_at = now;
        }
    }
    apply(changes);
}

void directory_sync::on_failure(std::string const& why)
{
    m_failed_at = clock_now();
    if (m_failures++ == 0)
    {
        log_event(
            event::platform_unreachable,
            {{"error", why},
             {"revision", static_cast<std::int64_t>(m_replica.revision())}});
    }
}

void directory_sync::apply(core::directory::item_changes const& changes)
{
    bool const is_first = m_replica.revision() == 0 && changes.m_revision > 0;
    if (is_first && !m_options.m_is_seed)
    {
        m_duty.start_grace_period(clock_now());
    }
    for (auto const& entry : m_replica.apply(changes))
    {
        apply_item(entry);
    }
    publish();
}

void directory_sync::apply_item(core::directory::item const& entry)
{
    namespace directory = core::directory;
    auto const revision = static_cast<std::int64_t>(entry.m_revision);
    auto meaning = m_from.m_decode(entry);
    if (auto* const config = std::get_if<directory::configuration>(&meaning))
    {
        auto const version = static_cast<std::int64_t>(config->m_version);
        bool const taken = m_state.put(std::move(*config));
        log_event(
            taken ? event::configuration_in_force
                  : event::configuration_left_out,
            {{"version", version}, {"revision", revision}});
    }
    else if (auto* const target = std::get_if<directory::target>(&meaning))
    {
        log_event(
            event::target_registered,
            {{"target", target->m_instance},
             {"service", target->m_service},
             {"address", core::to_string(target->m_address)},
             {"draining", std::int64_t{target->m_draining}},
             {"revision", revision}});
        m_state.put(std::move(*target));
    }
    else if (
        auto const* const removed =
            std::get_if<directory::target_removed>(&meaning))
    {
        log_event(
            event::target_removed,
            {{"target", removed->m_instance}, {"revision", revision}});
        m_state.remove(removed->m_instance, clock_now());
    }
    else if (
        auto const* const domain =
            std::get_if<directory::domain_status_changed>(&meaning))
    {
        log_event(
            domain->m_withdrawn ? event::domain_withdrawn
                                : event::domain_restored,
            {{"failure_domain", domain->m_failure_domain},
             {"revision", revision}});
        domain->m_withdrawn ? m_state.withdraw(domain->m_failure_domain)
                            : m_state.restore(domain->m_failure_domain);
    }
    else if (
        auto const* const rejected =
            std::get_if<directory::change_rejected>(&meaning))
    {
        log_event(
            event::item_rejected,
            {{"key", entry.m_key},
             {"revision", revision},
             {"errors", core::to_string(rejected->m_errors)}});
    }
}

void directory_sync::publish()
{
    auto const now = clock_now();
    auto view = m_state.snapshot();
    if (!(*view == *m_view))
    {
        m_view = std::move(view);
    }
    directory_update update{
        .m_directory = m_view,
        .m_revision = m_replica.revision(),
        .m_reads = m_failures == 0 && m_read_at + reads_for > now &&
                   m_read_at != core::time_point{},
        .m_recovered = m_recovered_at + returned_for > now &&
                       m_recovered_at != core::time_point{}};
    if (!(update == m_told))
    {
        m_told = update;
        m_options.m_on_update(update);
    }
}

} // namespace hibiscustide::net::mesh
