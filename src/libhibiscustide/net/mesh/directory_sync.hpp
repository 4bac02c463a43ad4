/// \file
/// Keeps the directory up to date from the publishing service and from peers.
#ifndef HIBISCUSTIDE_NET_MESH_DIRECTORY_SYNC_HPP
#define HIBISCUSTIDE_NET_MESH_DIRECTORY_SYNC_HPP

#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <hibiscustide/core/directory/directory.hpp>
#include <hibiscustide/core/directory/reader_selection.hpp>
#include <hibiscustide/core/directory/replica.hpp>

#include "net/mesh/publisher.hpp"
#include "net/metrics.hpp"

namespace hibiscustide::net::mesh
{

/// What the directory's readers are told.
struct directory_update
{
    core::directory::directory_ptr m_directory;
    std::uint64_t m_revision = 0; ///< Of the published items.
    bool m_reads = false;         ///< This node reads the service.
    bool m_recovered = false;     ///< The service was away until lately.

    friend bool operator==(directory_update const&, directory_update const&) =
        default;
};

struct directory_sync_options
{
    std::string m_address; ///< Of this node.
    std::function<void(directory_update const&)> m_on_update;
    /// Asks nodes that are known from the settings for what is published.
    std::function<void()> m_query_seeds;
    /// Others ask this node, so it reads at once and goes on reading until it
    /// hears from a reader.
    bool m_is_seed = false;
    /// How long the nodes from the settings have to answer.
    std::chrono::milliseconds m_seed_timeout{0};
};

/// Lives on the control thread.
class directory_sync
{
public:
    directory_sync(
        asio::io_context& context, directory_sync_options options,
        publisher from, metrics& counts);

    void start();

    /// A node of the own failure domain says whether it reads.
    void on_peer(std::string const& address, bool reads);

    /// Whether on_peer needs to hear of the node. May be called from any
    /// thread.
    [[nodiscard]] bool is_outranked_by(
        std::string const& address) const noexcept;

    /// A peer says that the service was away until lately.
    void on_peer_reported_recovery();

    /// A peer sent what was published.
    void on_changes(core::directory::item_changes const& changes);

    [[nodiscard]] core::directory::item_changes changes_after(
        std::uint64_t revision) const;

    [[nodiscard]] Json::Value to_json() const;

private:
    awaitable<void> read_loop();
    awaitable<void> hear_from_seeds();
    awaitable<void> expire_loop();
    awaitable<void> pause(core::duration span);
    void on_read(core::directory::item_changes const& changes);
    void on_failure(std::string const& why);
    void apply(core::directory::item_changes const& changes);
    void apply_item(core::directory::item const& entry);
    void publish();

    asio::io_context& m_context;
    directory_sync_options m_options;
    publisher m_from;
    metrics& m_counts;
    core::directory::replica m_replica;
    core::directory::directory_state m_state;
    core::directory::reader_selection m_duty;
    core::directory::directory_ptr m_view;
    directory_update m_told;
    core::time_point m_read_at{};      ///< The service last answered.
    core::time_point m_failed_at{};    ///< It last didn't answer.
    core::time_point m_recovered_at{}; ///< It answered again after a failure.
    std::uint32_t m_failures = 0;
    bool m_lost_history = false;
};

} // namespace hibiscustide::net::mesh

#endif
