/// \file
/// Brings release notes into force and spreads them.
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
    std::string m_local_address;
    std::uint32_t m_expected_nodes = 1;
    std::uint64_t m_seed = 0;
};

/// Runs on the control thread. Readers watch the configuration service; the
/// other nodes hear of a note by push and, should that miss them, by asking a
/// random peer at intervals. Peers also tell how long ago any node is known to
/// have read the service; where that is too long, since the readers are gone or
/// no peer answers, a node reads the service itself, within its own right.
class note_sync
{
public:
    using fleet_ptr = std::shared_ptr<core::release::fleet const>;

    /// `changed` is called with each fleet that comes into force.
    note_sync(
        asio::io_context& context, note_sync_options options, metrics& counts,
        std::function<void(fleet_ptr const&)> changed);

    /// Starts the loops, which end with the io_context.
    void start();

    [[nodiscard]] fleet_ptr const& in_force() const noexcept;

    /// Answers a peer that holds `revision`.
    [[nodiscard]] rpc::release_state after(std::uint64_t revision) const;

    /// Considers the notes that a peer offers.
    rpc::release_state offer(rpc::release_state const& offered);

    /// The platform that this node reads, for other readers on its thread.
    [[nodiscard]] platform_client& service() noexcept;

    /// Waits for the right to one read of the service.
    awaitable<void> wait_for_read();

    [[nodiscard]] Json::Value to_json() const;

private:
    awaitable<void> read_loop();
    awaitable<void> peer_loop();
    awaitable<bool> follow_head(std::string head);
    awaitable<bool> fetch(std::string key);
    awaitable<bool> ask_random_peer();
    awaitable<void> push(std::uint64_t before);
    [[nodiscard]] bool should_read() const;
    void hear_of_read(std::uint64_t age_ms);
    bool consider(std::string text, std::string const& source);
    [[nodiscard]] std::unique_ptr<connection_pool> random_peer();
    void note_service(bool reachable);
    awaitable<void> pause(core::duration span);

    asio::io_context& m_context;
    note_sync_options m_options;
    metrics& m_counts;
    std::function<void(fleet_ptr const&)> m_changed;
    platform_client m_platform;
    core::release::note_log m_log;
    core::release::read_rate_limiter m_read_limiter;
    std::mt19937_64 m_random;
    core::time_point m_read_at{}; ///< When any node read the service.
    std::chrono::milliseconds m_in_force_since{0};
    bool m_is_reader = false;
    bool m_service_reachable = true;
};

} // namespace hibiscustide::net

#endif
