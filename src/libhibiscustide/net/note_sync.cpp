#include "net/note_sync.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hibiscustide/core/json_reader.hpp>
#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"
#include "net/failure_guard.hpp"

namespace hibiscustide::net
{

namespace
{

using core::observe::event;
using std::chrono::milliseconds;

constexpr char const* head_key = "release/head";
constexpr char const* checkpoint_key = "release/checkpoint";
constexpr char const* note_key_prefix = "release/notes/";

// Time after which a watch without a change is renewed. Each watch counts as a
// read.
constexpr milliseconds watch_timeout{5'000};
constexpr milliseconds retry_delay{500};

// Minimum interval between polls of a random peer. A random time of up to the
// same length is added, so that nodes that were started together do not poll
// at the same time.
constexpr milliseconds peer_poll_interval{500};
constexpr milliseconds peer_timeout{1'000};

// A node reads the service itself if neither it nor, as far as its peers have
// reported, any other node has read the service within this time. In a fleet of
// thousands of nodes, the time of a read reaches every node within about eight
// rounds of polls.
constexpr milliseconds max_read_age{15'000};

// Number of peers to which a node pushes a new note. Each node that applies a
// pushed note pushes it in turn, so the number of rounds until all nodes have
// the note grows with the logarithm of the size of the fleet.
constexpr std::size_t push_fanout = 3;

constexpr core::bounds<std::uint64_t> any_count{0, UINT64_MAX};

// The value under head_key in the configuration service.
struct head
{
    std::uint64_t m_revision = 0;   // Of the newest note.
    std::uint64_t m_checkpoint = 0; // Of the checkpoint, 0 if there is none.
};

std::optional<head> parse_head(std::string const& text)
{
    core::field_errors errors;
    auto const json = core::parse_json(text, head_key, errors);
    if (!json)
    {
        return std::nullopt;
    }
    core::json_reader const reader{*json, head_key, "", errors};
    head parsed{
        .m_revision = reader.required_uint("revision", any_count),
        .m_checkpoint = reader.uint_or("checkpoint", 0, any_count)};
    if (!errors.empty())
    {
        return std::nullopt;
    }
    return parsed;
}

// Logs the result of offering a note to the note_log.
struct decision_logger
{
    std::string_view m_source;
    std::int64_t m_revision; // In force before the decision.

    void operator()(core::release::note_accepted const& accepted) const
    {
        log_event(
            event::note_accepted,
            {{"revision",
              static_cast<std::int64_t>(accepted.m_fleet->revision())},
             {"source", m_source}});
    }
    void operator()(core::release::note_already_applied const&) const {}
    void operator()(core::release::note_gap const& gap) const
    {
        log_event(
            event::notes_missing,
            {{"first_missing", static_cast<std::int64_t>(gap.m_first_missing)},
             {"source", m_source}});
    }
    void operator()(core::release::note_conflict const& conflict) const
    {
        log_event(
            event::note_conflict,
            {{"revision", static_cast<std::int64_t>(conflict.m_revision)},
             {"in_force", conflict.m_digest_in_force},
             {"offered", conflict.m_digest_offered},
             {"source", m_source}});
    }
    void operator()(core::release::note_rejected const& rejected) const
    {
        log_event(
            event::note_rejected,
            {{"in_force", m_revision},
             {"source", m_source},
             {"errors", core::to_string(rejected.m_errors)}});
    }
};

bool is_refusal(core::release::note_decision const& decision)
{
    return std::holds_alternative<core::release::note_conflict>(decision) ||
           std::holds_alternative<core::release::note_rejected>(decision);
}

} // namespace

note_sync::note_sync(
    asio::io_context& context, note_sync_options options, metrics& counts,
    std::function<void(fleet_ptr const&)> on_change)
    : m_context{context},
      m_options{std::move(options)},
      m_counts{counts},
      m_on_change{std::move(on_change)},
      m_platform{
          std::in_place_type<http_platform_client>, context,
          m_options.m_platform},
      m_read_limiter{
          core::release::max_read_rate(m_options.m_expected_nodes, 1, false),
          clock_now()},
      m_random{m_options.m_seed}
{
}

void note_sync::start()
{
    spawn_loop(
        m_context, "reads of release notes",
        [this]
        {
            return read_loop();
        });
    spawn_loop(
        m_context, "polls of peers",
        [this]
        {
            return peer_poll_loop();
        });
}

note_sync::fleet_ptr const& note_sync::in_force() const noexcept
{
    return m_log.in_force();
}

rpc::release_state note_sync::state_after(std::uint64_t revision) const
{
    auto const age =
        std::chrono::duration_cast<milliseconds>(clock_now() - m_last_read_at);
    return {
        .m_revision = in_force()->revision(),
        .m_digest = in_force()->digest(),
        .m_texts = m_log.notes_after(revision),
        .m_read_age_ms = static_cast<std::uint64_t>(age.count())};
}

rpc::release_state note_sync::offer(rpc::release_state const& offered)
{
    auto const before = in_force()->revision();
    update_last_read(offered.m_read_age_ms);
    for (auto const& text : offered.m_texts)
    {
        apply_note(text, "peer");
    }
    if (in_force()->revision() > before)
    {
        asio::co_spawn(
            m_context, push_notes(before),
            log_if_failed{"push of release notes"});
    }
    return state_after(in_force()->revision());
}

platform_client& note_sync::platform() noexcept
{
    return m_platform;
}

awaitable<void> note_sync::wait_for_read_permit()
{
    while (!m_read_limiter.try_take(clock_now()))
    {
        co_await pause(
            m_read_limiter.time_to_next(clock_now()) + milliseconds{1});
    }
    m_counts.add(counter::platform_reads);
}

Json::Value note_sync::to_json() const
{
    Json::Value value{Json::objectValue};
    value["revision"] = Json::UInt64{in_force()->revision()};
    value["digest"] = in_force()->digest();
    value["published_ms"] = Json::Int64{in_force()->published().count()};
    value["in_force_since_ms"] = Json::Int64{m_in_force_since.count()};
    value["is_reader"] = m_is_reader;
    value["service_reachable"] = m_service_reachable;
    return value;
}

awaitable<void> note_sync::read_loop()
{
    std::uint64_t version = 0;
    while (true)
    {
        if (!should_read())
        {
            version = 0;
            co_await pause(peer_poll_interval);
            continue;
        }
        co_await wait_for_read_permit();
        auto result = co_await watch_value(
            m_platform, head_key, version,
            version == 0 ? milliseconds{0} : watch_timeout);
        bool const failed = std::holds_alternative<platform_failure>(result);
        set_service_reachable(!failed);
        if (!failed)
        {
            m_last_read_at = clock_now();
        }
        if (auto* const value = std::get_if<platform_value>(&result))
        {
            if (co_await follow_head(std::move(value->m_text)))
            {
                version = value->m_version;
                continue;
            }
        }
        else if (!failed && version > 0)
        {
            continue;
        }
        co_await pause(retry_delay);
    }
}

awaitable<void> note_sync::peer_poll_loop()
{
    while (true)
    {
        std::uniform_int_distribution<std::int64_t> jitter{
            0, peer_poll_interval.count()};
        co_await pause(peer_poll_interval + milliseconds{jitter(m_random)});
        co_await poll_random_peer();
    }
}

// Fetches the checkpoint and the notes up to the revision of the head. Returns
// whether that revision or a newer one is in force afterwards.
awaitable<bool> note_sync::follow_head(std::string text)
{
    auto const latest = parse_head(text);
    if (!latest)
    {
        co_return false;
    }
    auto const before = in_force()->revision();
    if (latest->m_checkpoint > in_force()->revision())
    {
        co_await fetch(checkpoint_key);
    }
    while (in_force()->revision() < latest->m_revision)
    {
        auto const next = in_force()->revision() + 1;
        if (!co_await fetch(note_key_prefix + std::to_string(next)))
        {
            break;
        }
    }
    if (in_force()->revision() > before)
    {
        asio::co_spawn(
            m_context, push_notes(before),
            log_if_failed{"push of release notes"});
    }
    co_return in_force()->revision() >= latest->m_revision;
}

// Reads and applies the note under this key. Returns whether it came into
// force.
awaitable<bool> note_sync::fetch(std::string key)
{
    co_await wait_for_read_permit();
    auto result = co_await read_value(m_platform, key);
    auto* const value = std::get_if<platform_value>(&result);
    co_return value != nullptr&& apply_note(std::move(value->m_text), key);
}

awaitable<bool> note_sync::poll_random_peer()
{
    auto const peer = make_random_peer_pool();
    if (!peer)
    {
        co_return false;
    }
    auto const before = in_force()->revision();
    // GCC 12 destroys an aggregate twice if it is created inside an expression
    // that contains co_await, so the aggregate is created before the call.
    rpc::release_state const held{.m_revision = before};
    auto const parameters = rpc::to_json(held);
    auto const value = co_await rpc::call(
        *peer, rpc::release_after, parameters, clock_now() + peer_timeout,
        m_counts);
    auto const state = value ? rpc::parse_release_state(*value) : std::nullopt;
    if (!state)
    {
        co_return false;
    }
    update_last_read(state->m_read_age_ms);
    for (auto const& text : state->m_texts)
    {
        apply_note(text, "peer");
    }
    co_return true;
}

awaitable<void> note_sync::push_notes(std::uint64_t before)
{
    for (std::size_t n = 0; n < push_fanout; ++n)
    {
        auto const peer = make_random_peer_pool();
        if (!peer)
        {
            co_return;
        }
        auto const offered = state_after(before);
        auto const parameters = rpc::to_json(offered);
        co_await rpc::call(
            *peer, rpc::release_offer, parameters, clock_now() + peer_timeout,
            m_counts);
    }
}

// Readers always read. Any other node reads while no note is in force or while
// the last recorded read of the service by any node is too old.
bool note_sync::should_read() const
{
    if (m_is_reader || in_force()->revision() == 0)
    {
        return true;
    }
    return clock_now() - m_last_read_at > max_read_age;
}

void note_sync::update_last_read(std::uint64_t age_ms)
{
    // A node that has recorded no read reports the time since the epoch of its
    // monotonic clock. An age that is not shorter than the time since the epoch
    // of the local clock is therefore ignored.
    auto const now = clock_now();
    auto const since_epoch = now.time_since_epoch();
    milliseconds const age{age_ms};
    if (age < since_epoch)
    {
        m_last_read_at = std::max(m_last_read_at, now - age);
    }
}

// Offers a note to the note_log and applies the resulting fleet. Returns
// whether the note came into force.
bool note_sync::apply_note(std::string text, std::string const& source)
{
    auto const decision = m_log.offer(std::move(text), source);
    std::visit(
        decision_logger{
            .m_source = source,
            .m_revision = static_cast<std::int64_t>(in_force()->revision())},
        decision);
    if (is_refusal(decision))
    {
        m_counts.add(counter::notes_refused);
    }
    auto const* const accepted =
        std::get_if<core::release::note_accepted>(&decision);
    if (accepted == nullptr)
    {
        return false;
    }
    m_counts.add(counter::notes_accepted);
    m_in_force_since = unix_now();
    m_is_reader =
        core::release::is_reader(*accepted->m_fleet, m_options.m_name);
    auto const& fleet = *accepted->m_fleet;
    auto const rate = core::release::max_read_rate(
        fleet.targets().size(), fleet.failure_domains().size(), m_is_reader);
    m_read_limiter.set_rate(rate, clock_now());
    m_on_change(accepted->m_fleet);
    return true;
}

// Returns null if the fleet is empty or if the random choice is this node
// itself.
std::unique_ptr<connection_pool> note_sync::make_random_peer_pool()
{
    auto const& targets = in_force()->targets();
    if (targets.empty())
    {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> position{0, targets.size() - 1};
    auto const& target = targets[position(m_random)];
    if (target.m_name == m_options.m_name)
    {
        return nullptr;
    }
    auto const remote = core::parse_endpoint(target.m_node);
    return std::make_unique<connection_pool>(
        m_context,
        connection_pool_options{
            .m_remote = *remote, .m_local_address = m_options.m_local_address});
}

void note_sync::set_service_reachable(bool reachable)
{
    if (m_service_reachable == reachable)
    {
        return;
    }
    m_service_reachable = reachable;
    log_event(
        reachable ? event::platform_reachable : event::platform_unreachable);
}

awaitable<void> note_sync::pause(core::duration span)
{
    asio::steady_timer timer{m_context, span};
    co_await timer.async_wait(no_throw);
}

} // namespace hibiscustide::net
