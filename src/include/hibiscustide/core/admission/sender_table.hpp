/// \file
/// Records about the nodes that send requests to a gate.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_SENDER_TABLE_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_SENDER_TABLE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include <hibiscustide/core/time.hpp>

namespace hibiscustide::core::admission
{

/// What a gate, the part of a node that admits requests to its own target, has
/// to remember about the nodes that send it requests so that it never states
/// "not run" about a request that has run or may still run.
///
/// - A connection that was delayed in the network can arrive after a newer one
///   of the same sender. The requests on it were already reported as not
///   received over the newer one, so the older connection must be refused.
/// - The record of a request is removed some time after its end. A sender that
///   asks for it later, for example because its VM was suspended, must not be
///   answered that the request is unknown.
///
/// A sender is identified by its incarnation, a random number that a node
/// chooses at its start. Not thread-safe.
class sender_table
{
public:
    /// How long a sender without contact is remembered.
    static constexpr std::chrono::minutes retention{10};

    /// Handles a new connection, numbered by the sender in the order of
    /// opening. Returns false if the sender has opened a later one that arrived
    /// here earlier; the connection must then be closed.
    [[nodiscard]] bool accept_connection(
        std::uint64_t incarnation, std::uint64_t connection, time_point now);

    /// Whether the sender has opened a connection after the one with this
    /// number.
    [[nodiscard]] bool has_reconnected(
        std::uint64_t incarnation, std::uint64_t connection) const noexcept;

    /// Records that the record of this request was removed. Senders number
    /// their requests in ascending order.
    void on_record_removed(
        std::uint64_t incarnation, std::uint64_t request, time_point now);

    /// Whether a request without a record may have had one that was removed.
    [[nodiscard]] bool may_have_been_removed(
        std::uint64_t incarnation, std::uint64_t request) const noexcept;

    /// Removes the senders without contact during the retention time.
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct sender
    {
        std::uint64_t m_newest_connection = 0;
        std::uint64_t m_highest_removed = 0; ///< 0: no record was removed.
        time_point m_last_contact{};
    };

    std::map<std::uint64_t, sender> m_senders; ///< By incarnation.
};

} // namespace hibiscustide::core::admission

#endif
