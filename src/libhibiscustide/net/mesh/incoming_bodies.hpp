/// \file
/// Receives the bodies of the requests that other nodes send.
#ifndef HIBISCUSTIDE_NET_MESH_INCOMING_BODIES_HPP
#define HIBISCUSTIDE_NET_MESH_INCOMING_BODIES_HPP

#include <cstdint>
#include <functional>
#include <map>

#include <boost/asio/steady_timer.hpp>

#include <hibiscustide/core/admission/transfer_scheduler.hpp>

#include "net/body_buffer.hpp"
#include "net/mesh/messages.hpp"
#include "net/mesh/request_key.hpp"

namespace hibiscustide::net::mesh
{

/// Keeps the body of each request that follows in pieces, and grants the
/// senders when to send them, so that bodies do not fill the queue of this VM's
/// link. Runs on one io_context.
class incoming_bodies
{
public:
    /// Sends a grant to the sender of a request.
    using grant_sender =
        std::function<void(request_key const& key, std::uint64_t limit)>;

    incoming_bodies(
        asio::io_context& context,
        core::admission::transfer_scheduler_options const& options,
        grant_sender send_grant);

    /// Adds the body of a request and returns its buffer. Nothing is granted
    /// before grant().
    [[nodiscard]] body_buffer_ptr add(
        request_key const& key, run_request const& request);

    /// Starts to grant the bodies that were added, because their requests were
    /// admitted.
    void grant();

    /// Handles a piece. Ignores it if the body was removed.
    void on_piece(request_key const& key, body_piece&& piece);

    /// Removes the body, because its request has ended.
    void remove(request_key const& key);

    /// The bodies of this sender that are incomplete fail, because its
    /// connection was lost.
    void fail_all_of(std::uint64_t incarnation);

    /// Expected time until a body of this length would have arrived.
    [[nodiscard]] core::duration expected_time(
        std::int64_t length) const noexcept;

private:
    struct entry
    {
        body_buffer_ptr m_buffer;
        std::uint64_t m_transfer = 0; ///< Id of the transfer.
        std::uint64_t m_freed = 0;    ///< Bytes that the buffer has freed.
    };

    awaitable<void> grant_loop();
    void on_freed(request_key const& key);

    asio::io_context& m_context;
    core::admission::transfer_scheduler_options m_options;
    core::admission::transfer_scheduler m_scheduler;
    grant_sender m_send_grant;
    std::map<request_key, entry> m_entries;
    std::map<std::uint64_t, request_key> m_keys; ///< By id of the transfer.
    std::uint64_t m_next_transfer = 1;
    bool m_granting = false;
};

} // namespace hibiscustide::net::mesh

#endif
