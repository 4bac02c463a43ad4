/// \file
/// Keeps the directory up to date with the items (the entries of the publishing
/// service) that the service or a peer sends.
#ifndef HIBISCUSTIDE_NET_MESH_DIRECTORY_SYNC_HPP
#define HIBISCUSTIDE_NET_MESH_DIRECTORY_SYNC_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
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

/// The state that directory_sync passes on after each change.
struct directory_update
{
    core::directory::directory_ptr m_directory;
    core::directory::published_state m_published; ///< The applied state.
    /// Whether this node reads from the publishing service.
    bool m_is_reader = false;
    bool m_recovered = false; ///< Whether the service recovered recently.

    friend bool operator==(directory_update const&, directory_update const&) =
        default;
};

struct directory_sync_options
{
    std::string m_address; ///< IP address of this node.
    /// Called after each change.
    std::function<void(directory_update const&)> m_on_update;
    /// Requests the published items from the seeds, the nodes that the settings
    /// name.
    std::function<void()> m_query_seeds;
    /// Requests the changes after a state from seeds other than `first`.
    std::function<void(
        std::string const& first,
        core::directory::published_state const& after)>
        m_query_other_seeds;
    /// Number of other seeds that m_query_other_seeds asks.
    std::size_t m_other_seeds = 0;
    /// Whether this node is a seed. A seed reads from the publishing service at
    /// once, and until it receives the status of a reader.
    bool m_is_seed = false;
    /// How long to wait for the published items from a seed before reading from
    /// the publishing service.
    std::chrono::milliseconds m_seed_timeout{0};
};

/// Applies the published items to the directory. Reads them from the publishing
/// service while this node is a reader; otherwise peers send them. Runs on the
/// control thread.
class directory_sync
{
public:
    directory_sync(
        asio::io_context& context, directory_sync_options options,
        publisher source, metrics& counts);

    /// Starts to read and to remove targets whose grace period is over.
    void start();

    /// Handles the status of a peer in the same failure domain. `is_reader`
    /// is whether the peer reads from the publishing service.
    void on_peer(std::string const& address, bool is_reader);

    /// Whether the address has a higher rank than this node. on_peer ignores
    /// all other addresses. Thread-safe.
    [[nodiscard]] bool is_outranked_by(
        std::string const& address) const noexcept;

    /// Records that a peer reports a recent recovery of the publishing service.
    void on_peer_reported_recovery();

    /// Applies changes that the peer with this address sent.
    void on_changes(
        std::string const& address,
        core::directory::item_changes const& changes);

    /// Returns the changes that a peer in this state lacks.
    [[nodiscard]] core::directory::item_changes changes_after(
        core::directory::published_state const& known) const;

    /// Returns the part of the state dump that describes the directory.
    [[nodiscard]] Json::Value to_json() const;

private:
    awaitable<void> read_loop();
    awaitable<void> wait_for_seeds();
    awaitable<void> compare_with_other_seeds();
    awaitable<void> expire_loop();
    awaitable<void> pause(core::duration span);
    [[nodiscard]] bool has_recovered_recently() const;
    void on_read(read_outcome const& read);
    void on_read_succeeded(core::directory::item_changes const& changes);
    void on_read_failed(std::string const& error);
    void apply(core::directory::item_changes const& changes);
    /// `is_first_of_era`: whether the item is from the first list of an era, so
    /// that a removed one may only be missing from the older copy.
    void apply_item(core::directory::item const& entry, bool is_first_of_era);
    void apply_removal(std::string const& instance, bool is_first_of_era);
    void apply_domain_status(
        core::directory::domain_status_changed const& domain,
        bool is_first_of_era);
    /// Calls m_on_update if the state differs from the last update.
    void notify_if_changed();

    asio::io_context& m_context;
    directory_sync_options m_options;
    publisher m_publisher;
    metrics& m_counts;
    core::directory::replica m_replica;
    core::directory::directory_state m_state;
    core::directory::reader_selection m_reader_selection;
    core::directory::directory_ptr m_snapshot;
    directory_update m_last_update;
    core::time_point m_last_read_at{};   ///< When the service last answered.
    core::time_point m_last_failed_at{}; ///< When a read last failed.
    core::time_point m_recovered_at{};   ///< When the service last recovered.
    std::uint32_t m_failure_count = 0;
    /// Address of the peer that sent the first items. Empty if none has, or if
    /// the service sent them.
    std::string m_first_sender;
    /// Addresses of the other peers that have replied to requests for changes
    /// since then.
    std::set<std::string> m_change_replies;
    /// Whether the state may be passed on. A starting node compares the items
    /// of the first seed with the others before it uses them.
    bool m_may_notify = false;
    bool m_history_lost = false;
    /// Newest era in which the service has answered.
    std::uint64_t m_service_era = 0;
};

} // namespace hibiscustide::net::mesh

#endif
