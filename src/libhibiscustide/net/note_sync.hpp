/// \file
/// Obtains release notes (the numbered configuration changes of operators),
/// applies them and distributes them to other nodes.
#ifndef HIBISCUSTIDE_NET_NOTE_SYNC_HPP
#define HIBISCUSTIDE_NET_NOTE_SYNC_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <json/value.h>

#include <hibiscustide/core/release/note_log.hpp>
#include <hibiscustide/core/release/readers.hpp>

#include "net/metrics.hpp"
#include "net/platform_client.hpp"
#include "net/rpc.hpp"

namespace hibiscustide::net
{

struct note_sync_options
{
    std::string m_name; ///< Of the target beside the node.
    core::endpoint m_platform;
    std::string m_local_address; ///< Source address of connections to peers.
    /// Size of the fleet that is assumed until the first note is in force.
    std::uint32_t m_expected_nodes = 1;
    std::uint64_t m_seed = 0; ///< Of the random number generator.
};

/// Keeps the release notes of a node up to date. Used on the control thread.
///
/// The nodes selected as readers watch the configuration service. A node that
/// applies a new note pushes it to random peers. Each node also polls a random
/// peer at intervals, in case no push reaches it.
///
/// Peers also exchange the time since the last read of the service by any node.
/// If that time exceeds a limit, because the readers have failed or no peer
/// answers, a node reads the service itself. All reads are subject to the
/// node's read rate limiter.
class note_sync
{
public:
    using fleet_ptr = std::shared_ptr<core::release::fleet const>;

    /// `on_change` is called with each fleet that comes into force.
    note_sync(
        asio::io_context& context, note_sync_options options, metrics& counts,
        std::function<void(fleet_ptr const&)> on_change);

    /// Starts the background loops, which run until the io_context stops.
    void start();

    [[nodiscard]] fleet_ptr const& in_force() const noexcept;

    /// Returns the state to send to a peer that holds `revision`, with the
    /// notes that the peer lacks.
    [[nodiscard]] rpc::release_state state_after(std::uint64_t revision) const;

    /// Applies the notes that a peer offers and pushes them on if any of them
    /// is new. Returns the resulting state, without notes.
    rpc::release_state offer(rpc::release_state const& offered);

    /// The client by which this node reads the platform, for other uses on the
    /// control thread.
    [[nodiscard]] platform_client& platform() noexcept;

    /// Waits until the read rate limiter permits a read of the service, and
    /// takes the permit.
    awaitable<void> wait_for_read_permit();

    [[nodiscard]] Json::Value to_json() const;

private:
    awaitable<void> read_loop();
    awaitable<void> peer_poll_loop();
    awaitable<bool> follow_head(std::string head);
    awaitable<bool> fetch(std::string key);
    awaitable<bool> poll_random_peer();
    awaitable<void> push_notes(std::uint64_t before);
    [[nodiscard]] bool should_read() const;
    void update_last_read(std::uint64_t age_ms);
    bool apply_note(std::string text, std::string const& source);
    [[nodiscard]] std::unique_ptr<connection_pool> make_random_peer_pool();
    void set_service_reachable(bool reachable);
    awaitable<void> pause(core::duration span);

    asio::io_context& m_context;
    note_sync_options m_options;
    metrics& m_counts;
    std::function<void(fleet_ptr const&)> m_on_change;
    platform_client m_platform;
    core::release::note_log m_log;
    core::release::read_rate_limiter m_read_limiter;
    std::mt19937_64 m_random;
    /// Time of the last read of the service by this node or, as its peers
    /// reported, by another node.
    core::time_point m_last_read_at{};
    std::chrono::milliseconds m_in_force_since{0};
    bool m_is_reader = false;
    bool m_service_reachable = true;
};

} // namespace hibiscustide::net

#endif
