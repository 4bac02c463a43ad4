#include "net/note_sync.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hibiscustide/core/json_reader.hpp>
#include <hibiscustide/net/event_log.hpp>

#include "net/clock.hpp"

namespace hibiscustide::net
{

namespace
{

using core::observe::event;
using std::chrono::milliseconds;

constexpr char const* head_key = "release/head";
constexpr char const* checkpoint_key = "release/checkpoint";
constexpr char const* note_key_prefix = "release/notes/";

// A watch is renewed this often; each one counts as a read.
constexpr milliseconds watch_wait{5'000};
constexpr milliseconds failure_pause{500};

// A random peer is asked this often, with as much again at random, so that
// nodes started together don't ask together.
constexpr milliseconds peer_interval{500};
constexpr milliseconds peer_limit{1'000};

// A node that knows of no read of the service for this long reads it itself.
// News of a read spreads through a fleet of thousands in some eight rounds of
// asking peers.
constexpr milliseconds read_silence{15'000};

// Peers that a note is pushed to. Each node that takes it from a push pushes
// it on, so it spreads in a number of rounds that grows as the logarithm of
// the fleet.
constexpr std::size_t push_fanout = 3;

constexpr core::bounds<std::uint64_t> any_count{0, UINT64_MAX};

// What the configuration service's head value says.
struct head
{
    std::uint64_t m_revision = 0;
    std::uint64_t m_checkpoint = 0; ///< Revision of the checkpoint; 0: none.
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
    head found{
        .m_revision = reader.required_uint("revision", any_count),
        .m_checkpoint = reader.uint_or("checkpoint", 0, any_count)};
    if (!errors.empty())
    {
        return std::nullopt;
    }
    return found;
}

struct decision_logger
{
    std::string_view m_source;
    std::int64_t m_revision;

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
    std::function<void(fleet_ptr const&)> changed)
    : m_context{context},
      m_options{std::move(options)},
      m_counts{counts},
      m_changed{std::move(changed)},
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
    asio::co_spawn(m_context, read_loop(), asio::detached);
    asio::co_spawn(m_context, peer_loop(), asio::detached);
}

note_sync::fleet_ptr const& note_sync::in_force() const noexcept
{
    return m_log.in_force();
}

rpc::release_state note_sync::after(std::uint64_t revision) const
{
    auto const age =
        std::chrono::duration_cast<milliseconds>(clock_now() - m_read_at);
    return {
        .m_revision = in_force()->revision(),
        .m_digest = in_force()->digest(),
        .m_texts = m_log.notes_after(revision),
        .m_read_age_ms = static_cast<std::uint64_t>(age.count())};
}

rpc::release_state note_sync::offer(rpc::release_state const& offered)
{
    auto const before = in_force()->revision();
    hear_of_read(offered.m_read_age_ms);
    for (auto const& text : offered.m_texts)
    {
        consider(text, "peer");
    }
    if (in_force()->revision() > before)
    {
        asio::co_spawn(m_context, push(before), asio::detached);
    }
    return after(in_force()->revision());
}

platform_client& note_sync::service() noexcept
{
    return m_platform;
}

awaitable<void> note_sync::wait_for_read()
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
            co_await pause(peer_interval);
            continue;
        }
        co_await wait_for_read();
        auto result = co_await watch_value(
            m_platform, head_key, version,
            version == 0 ? milliseconds{0} : watch_wait);
        bool const failed = std::holds_alternative<platform_failure>(result);
        note_service(!failed);
        if (!failed)
        {
            m_read_at = clock_now();
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
        co_await pause(failure_pause);
    }
}

awaitable<void> note_sync::peer_loop()
{
    while (true)
    {
        std::uniform_int_distribution<std::int64_t> jitter{
            0, peer_interval.count()};
        co_await pause(peer_interval + milliseconds{jitter(m_random)});
        co_await ask_random_peer();
    }
}

// Fetches what the head names. True where the head's revision or a newer one
// is in force afterwards.
awaitable<bool> note_sync::follow_head(std::string text)
{
    auto const found = parse_head(text);
    if (!found)
    {
        co_return false;
    }
    auto const before = in_force()->revision();
    if (found->m_checkpoint > in_force()->revision())
    {
        co_await fetch(checkpoint_key);
    }
    while (in_force()->revision() < found->m_revision)
    {
        auto const next = in_force()->revision() + 1;
        if (!co_await fetch(note_key_prefix + std::to_string(next)))
        {
            break;
        }
    }
    if (in_force()->revision() > before)
    {
        asio::co_spawn(m_context, push(before), asio::detached);
    }
    co_return in_force()->revision() >= found->m_revision;
}

// True where a note came into force.
awaitable<bool> note_sync::fetch(std::string key)
{
    co_await wait_for_read();
    auto result = co_await read_value(m_platform, key);
    auto* const value = std::get_if<platform_value>(&result);
    co_return value != nullptr&& consider(std::move(value->m_text), key);
}

awaitable<bool> note_sync::ask_random_peer()
{
    auto const peer = random_peer();
    if (!peer)
    {
        co_return false;
    }
    auto const before = in_force()->revision();
    // Built before the call: GCC 12 destroys twice an aggregate that is made
    // inside an expression that awaits.
    rpc::release_state const held{.m_revision = before};
    auto const parameters = rpc::to_json(held);
    auto const value = co_await rpc::call(
        *peer, rpc::release_after, parameters, clock_now() + peer_limit,
        m_counts);
    auto const state = value ? rpc::release_state_from(*value) : std::nullopt;
    if (!state)
    {
        co_return false;
    }
    hear_of_read(state->m_read_age_ms);
    for (auto const& text : state->m_texts)
    {
        consider(text, "peer");
    }
    co_return true;
}

awaitable<void> note_sync::push(std::uint64_t before)
{
    for (std::size_t n = 0; n < push_fanout; ++n)
    {
        auto const peer = random_peer();
        if (!peer)
        {
            co_return;
        }
        auto const offered = after(before);
        auto const parameters = rpc::to_json(offered);
        co_await rpc::call(
            *peer, rpc::release_offer, parameters, clock_now() + peer_limit,
            m_counts);
    }
}

// A reader always reads. Another node reads while it has no note or knows of
// no recent read.
bool note_sync::should_read() const
{
    if (m_is_reader || in_force()->revision() == 0)
    {
        return true;
    }
    return clock_now() - m_read_at > read_silence;
}

void note_sync::hear_of_read(std::uint64_t age_ms)
{
    // An age from a node that has never heard of a read is longer than any
    // clock has run.
    auto const now = clock_now();
    auto const since_start = now.time_since_epoch();
    milliseconds const age{age_ms};
    if (age < since_start)
    {
        m_read_at = std::max(m_read_at, now - age);
    }
}

// True where the note came into force.
bool note_sync::consider(std::string text, std::string const& source)
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
    m_changed(accepted->m_fleet);
    return true;
}

std::unique_ptr<connection_pool> note_sync::random_peer()
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

void note_sync::note_service(bool reachable)
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
