#include "net/mesh/directory_sync.hpp"

#include <algorithm>
#include <utility>

#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using core::observe::event;
using std::chrono::milliseconds;

// Longest wait of a watch request. Short enough that a reader whose requests
// are not answered is replaced in time.
constexpr milliseconds watch_wait{2'500};

// Longest wait of a watch request after a failure. Short, so that a recovery of
// the service is noticed when it happens.
constexpr milliseconds recovery_watch_wait{50};

// A node counts as a reader if the service has answered it within this time.
constexpr milliseconds max_read_age{3'300};

// How long the status of this node reports a recovery of the service.
constexpr milliseconds recovery_report_time{1'500};

// Pause after a read that returned items, so that changes published shortly
// after each other are read together.
constexpr milliseconds batching_pause{300};

// The same after a recovery of the service. Targets whose entries it has
// removed register again then, and must be known before their grace period
// ends.
constexpr milliseconds recovery_batching_pause{100};

// Interval between requests to the seeds.
constexpr milliseconds seed_query_interval{60};

// Longest wait for the other seeds, of which some may be down, and the interval
// at which their replies are counted.
constexpr milliseconds comparison_timeout{100};
constexpr milliseconds comparison_interval{5};

constexpr milliseconds selection_check_interval{100};
constexpr milliseconds expire_interval{100};
constexpr milliseconds first_retry_delay{80};
constexpr std::uint32_t max_delay_doublings = 6;

} // namespace

directory_sync::directory_sync(
    asio::io_context& context, directory_sync_options options, publisher source,
    metrics& counts)
    : m_context{context},
      m_options{std::move(options)},
      m_publisher{std::move(source)},
      m_counts{counts},
      m_reader_selection{m_options.m_address},
      m_snapshot{m_state.snapshot()}
{
}

void directory_sync::start()
{
    spawn_loop(
        m_context, "reads of published items",
        [this]
        {
            return read_loop();
        });
    spawn_loop(
        m_context, "expiry of targets",
        [this]
        {
            return expire_loop();
        });
}

void directory_sync::on_peer(std::string const& address, bool is_reader)
{
    m_reader_selection.on_peer(address, is_reader, clock_now());
}

bool directory_sync::is_outranked_by(std::string const& address) const noexcept
{
    return m_reader_selection.is_outranked_by(address);
}

void directory_sync::on_peer_reported_recovery()
{
    m_state.on_peer_reported_recovery(clock_now());
}

void directory_sync::on_changes(
    std::string const& address, core::directory::item_changes const& changes)
{
    bool const is_first =
        m_replica.state().m_revision == 0 && changes.m_revision > 0;
    if (is_first)
    {
        m_first_sender = address;
        if (!m_options.m_is_seed)
        {
            m_reader_selection.start_grace_period(clock_now());
        }
    }
    else if (!m_first_sender.empty() && address != m_first_sender)
    {
        m_change_replies.insert(address);
    }
    apply(changes);
}

core::directory::item_changes directory_sync::changes_after(
    core::directory::published_state const& known) const
{
    return m_replica.changes_after(known);
}

Json::Value directory_sync::to_json() const
{
    Json::Value value{Json::objectValue};
    value["era"] = Json::UInt64{m_replica.state().m_era};
    value["revision"] = Json::UInt64{m_replica.state().m_revision};
    value["version"] = Json::UInt64{m_state.version()};
    value["reads"] = m_last_update.m_is_reader;
    value["targets"] = Json::UInt64{m_snapshot->targets().size()};
    return value;
}

awaitable<void> directory_sync::read_loop()
{
    co_await wait_for_seeds();
    co_await compare_with_other_seeds();
    m_may_notify = true;
    notify_if_changed();
    while (true)
    {
        bool const has_items = m_replica.state().m_revision > 0;
        if (has_items && !m_reader_selection.should_read(clock_now()))
        {
            co_await pause(selection_check_interval);
            continue;
        }
        read_outcome read;
        m_counts.add(counter::platform_reads);
        if (!has_items || m_history_lost)
        {
            read = co_await m_publisher.m_read_all(
                std::max(m_service_era, m_replica.state().m_era));
        }
        else
        {
            auto const wait =
                m_failure_count > 0 ? recovery_watch_wait : watch_wait;
            read = co_await m_publisher.m_watch(m_replica.state(), wait);
        }
        // A peer may have sent the items of a newer era during the read.
        auto const* const read_changes =
            std::get_if<core::directory::item_changes>(&read);
        if (read_changes != nullptr &&
            read_changes->m_era < m_replica.state().m_era)
        {
            read = read_failed{"the answer is of an older era"};
        }
        on_read(read);
        if (std::holds_alternative<read_failed>(read))
        {
            auto const doublings =
                std::min<std::uint32_t>(m_failure_count, max_delay_doublings) -
                1;
            co_await pause(std::min(
                first_retry_delay * (1 << doublings),
                m_reader_selection.max_retry_delay(clock_now())));
        }
        auto const* const changes =
            std::get_if<core::directory::item_changes>(&read);
        if (changes != nullptr && !changes->m_items.empty())
        {
            co_await pause(
                has_recovered_recently() ? recovery_batching_pause
                                         : batching_pause);
        }
    }
}

// Whether this node reports a recovery of the service to its peers.
bool directory_sync::has_recovered_recently() const
{
    return m_recovered_at != core::time_point{} &&
           m_recovered_at + recovery_report_time > clock_now();
}

void directory_sync::on_read(read_outcome const& read)
{
    if (auto const* const changes =
            std::get_if<core::directory::item_changes>(&read))
    {
        on_read_succeeded(*changes);
    }
    else if (auto const* const failed = std::get_if<read_failed>(&read))
    {
        on_read_failed(failed->m_reason);
    }
    else
    {
        if (auto const* const restored = std::get_if<service_restored>(&read))
        {
            m_service_era = std::max(m_service_era, restored->m_era);
        }
        auto const revision =
            static_cast<std::int64_t>(m_replica.state().m_revision);
        log_event(event::history_lost, {{"revision", revision}});
        m_history_lost = true;
    }
}

// Waits for the published items from a seed. A node that joins a running fleet
// thereby puts no load on the publishing service.
awaitable<void> directory_sync::wait_for_seeds()
{
    if (m_options.m_is_seed)
    {
        co_return;
    }
    auto const deadline = clock_now() + m_options.m_seed_timeout;
    while (m_replica.state().m_revision == 0 && clock_now() < deadline)
    {
        m_options.m_query_seeds();
        co_await pause(seed_query_interval);
    }
}

// The first seed may be behind, for example because it was cut off. Its items
// are used only after the other seeds have sent later changes, or after
// comparison_timeout. Further replies of the first seed are not counted.
awaitable<void> directory_sync::compare_with_other_seeds()
{
    if (m_options.m_is_seed || m_replica.state().m_revision == 0)
    {
        co_return;
    }
    auto const deadline = clock_now() + comparison_timeout;
    m_options.m_query_other_seeds(m_first_sender, m_replica.state());
    while (m_change_replies.size() < m_options.m_other_seeds &&
           clock_now() < deadline)
    {
        co_await pause(comparison_interval);
    }
}

awaitable<void> directory_sync::expire_loop()
{
    while (true)
    {
        co_await pause(expire_interval);
        static_cast<void>(m_state.expire(clock_now()));
        notify_if_changed();
    }
}

awaitable<void> directory_sync::pause(core::duration span)
{
    asio::steady_timer timer{m_context, span};
    co_await timer.async_wait(no_throw);
}

void directory_sync::on_read_succeeded(
    core::directory::item_changes const& changes)
{
    auto const now = clock_now();
    m_last_read_at = now;
    m_history_lost = m_history_lost && !changes.m_complete;
    if (m_failure_count > 0)
    {
        log_event(
            event::platform_reachable,
            {{"failures", static_cast<std::int64_t>(m_failure_count)}});
        m_failure_count = 0;
        if (m_state.on_service_recovered(m_last_failed_at, now))
        {
            m_recovered_at = now;
        }
    }
    apply(changes);
}

void directory_sync::on_read_failed(std::string const& error)
{
    m_last_failed_at = clock_now();
    if (m_failure_count++ == 0)
    {
        log_event(
            event::platform_unreachable,
            {{"error", error},
             {"revision",
              static_cast<std::int64_t>(m_replica.state().m_revision)}});
    }
}

void directory_sync::apply(core::directory::item_changes const& changes)
{
    auto const before = m_replica.state();
    auto const applied = m_replica.apply(changes);
    auto const after = m_replica.state();
    bool const is_first_of_era =
        before.m_revision > 0 && after.m_era > before.m_era;
    if (is_first_of_era)
    {
        log_event(
            event::publisher_restored,
            {{"era", static_cast<std::int64_t>(after.m_era)},
             {"revision", static_cast<std::int64_t>(after.m_revision)},
             {"previous_revision",
              static_cast<std::int64_t>(before.m_revision)},
             {"changed", static_cast<std::int64_t>(applied.size())}});
        m_state.on_service_restored(clock_now());
    }
    for (auto const& entry : applied)
    {
        apply_item(entry, is_first_of_era);
    }
    notify_if_changed();
}

void directory_sync::apply_item(
    core::directory::item const& entry, bool is_first_of_era)
{
    namespace directory = core::directory;
    auto const revision = static_cast<std::int64_t>(entry.m_revision);
    auto change = m_publisher.m_decode(entry);
    if (auto* const config = std::get_if<directory::configuration>(&change))
    {
        auto const version = static_cast<std::int64_t>(config->m_version);
        bool const in_force = m_state.put(std::move(*config));
        log_event(
            in_force ? event::configuration_in_force
                     : event::configuration_left_out,
            {{"version", version}, {"revision", revision}});
    }
    else if (auto* const target = std::get_if<directory::target>(&change))
    {
        log_event(
            event::target_registered,
            {{"target", target->m_instance},
             {"service", target->m_service},
             {"address", core::to_string(target->m_address)},
             {"draining", std::int64_t{target->m_draining}},
             {"revision", revision}});
        if (!m_state.put(std::move(*target)))
        {
            log_event(
                event::entry_outdated,
                {{"key", entry.m_key}, {"revision", revision}});
        }
    }
    else if (
        auto const* const removed =
            std::get_if<directory::target_removed>(&change))
    {
        log_event(
            event::target_removed,
            {{"target", removed->m_instance}, {"revision", revision}});
        apply_removal(removed->m_instance, is_first_of_era);
    }
    else if (
        auto const* const domain =
            std::get_if<directory::domain_status_changed>(&change))
    {
        log_event(
            domain->m_withdrawn ? event::domain_withdrawn
                                : event::domain_restored,
            {{"failure_domain", domain->m_failure_domain},
             {"revision", revision}});
        apply_domain_status(*domain, is_first_of_era);
    }
    else if (
        auto const* const rejected =
            std::get_if<directory::change_rejected>(&change))
    {
        log_event(
            event::item_rejected,
            {{"key", entry.m_key},
             {"revision", revision},
             {"errors", core::to_string(rejected->m_errors)}});
        // The target is removed, because a node that starts later never
        // receives its earlier entry.
        m_state.remove(rejected->m_instance, clock_now());
    }
}

void directory_sync::apply_removal(
    std::string const& instance, bool is_first_of_era)
{
    if (is_first_of_era)
    {
        m_state.remove_missing(instance, clock_now());
        return;
    }
    m_state.remove(instance, clock_now());
}

void directory_sync::apply_domain_status(
    core::directory::domain_status_changed const& domain, bool is_first_of_era)
{
    auto const& name = domain.m_failure_domain;
    if (domain.m_withdrawn)
    {
        m_state.withdraw(name);
    }
    else if (is_first_of_era)
    {
        m_state.restore_missing(name, clock_now());
    }
    else
    {
        m_state.restore(name);
    }
}

void directory_sync::notify_if_changed()
{
    if (!m_may_notify)
    {
        return;
    }
    auto const now = clock_now();
    auto snapshot = m_state.snapshot();
    if (!(*snapshot == *m_snapshot))
    {
        m_snapshot = std::move(snapshot);
    }
    // A node that has read but relies on another reader must not report to be
    // one: the other reader stops when it receives that status.
    directory_update update{
        .m_directory = m_snapshot,
        .m_published = m_replica.state(),
        .m_is_reader = m_failure_count == 0 &&
                       m_last_read_at + max_read_age > now &&
                       m_last_read_at != core::time_point{} &&
                       m_reader_selection.should_read(now),
        .m_recovered = has_recovered_recently()};
    if (!(update == m_last_update))
    {
        m_last_update = update;
        m_options.m_on_update(update);
    }
}

} // namespace hibiscustide::net::mesh
