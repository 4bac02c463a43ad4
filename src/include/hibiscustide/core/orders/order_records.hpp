/// \file
/// The records by which the owner of an order key runs the order at most once.
///
/// An order is a request that runs at most once for its idempotency key. A
/// resend is a later attempt with the same key, within the resend horizon of
/// the service. A key or an attempt is void at a node if the order must not run
/// there any more for that key or by that attempt. The ingress is the part of a
/// node that accepts callers' requests.
#ifndef HIBISCUSTIDE_CORE_ORDERS_ORDER_RECORDS_HPP
#define HIBISCUSTIDE_CORE_ORDERS_ORDER_RECORDS_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <variant>

#include <hibiscustide/core/time.hpp>
#include <hibiscustide/core/verdict.hpp>

namespace hibiscustide::core::orders
{

/// The first answer to an order, stored as the answer to its resends.
struct stored_answer
{
    unsigned m_status = 0;
    std::string m_content_type;
    std::string m_body;

    friend auto operator<=>(stored_answer const&, stored_answer const&) =
        default;
};

/// The order may run now and has a record.
struct may_start
{
};

/// The order is running. A later call returns its outcome.
struct still_running
{
};

/// The order has run and `m_answer` is its first answer.
struct already_run
{
    stored_answer m_answer;
};

/// The order may have run: its answer did not arrive or was too large to store,
/// or the records cannot rule out a run.
struct outcome_unknown
{
};

/// The attempt did not run the order here and will not run it. The reason is
/// - key_voided if the key or the attempt is void;
/// - key_conflict if the key was recorded with a different request, which may
///   have run;
/// - records_full if there was no room for a record. Nothing was recorded, and
///   a later attempt may be allowed to run.
struct not_allowed
{
    reason m_reason = reason::key_voided;
};

using begin_decision = std::variant<
    may_start, still_running, already_run, outcome_unknown, not_allowed>;

/// The result of a look-up or a transfer of ownership. With `not_allowed`,
/// whose reason is then key_voided, the order has not run here, and the attempt
/// that was looked up or the key that was transferred is void from then on.
using look_up_result =
    std::variant<still_running, already_run, outcome_unknown, not_allowed>;

/// An attempt to run an order.
struct order_request
{
    std::string m_key;
    /// Id of the attempt: a random 64-bit number that the ingress which
    /// accepted the caller's request draws for each attempt. Nothing checks
    /// that it is unique; a collision is only improbable.
    std::string m_attempt;
    /// Hash of the request. A resend with a different hash is refused.
    std::uint64_t m_fingerprint = 0;
    /// The resend horizon: the time for which the record is kept after its last
    /// change.
    duration m_horizon{0};
};

struct order_records_options
{
    std::size_t m_max_records = 100'000;
    std::size_t m_max_bytes = 16'000'000; ///< Of keys and stored answers.

    friend auto operator<=>(
        order_records_options const&, order_records_options const&) = default;
};

/// Records the keys of orders, so that each order runs at most once. A key is
/// recorded before the first byte goes to a target, so that no resend can start
/// a second run while the record is kept. Not thread-safe.
class order_records
{
public:
    explicit order_records(order_records_options const& options);

    /// Whether there is a record of the key.
    [[nodiscard]] bool contains(std::string const& key) const;

    /// Decides whether an attempt may run its order, and records the key if so.
    /// If a limit of the options leaves no room for the record of a new key,
    /// returns `not_allowed` with the reason records_full.
    [[nodiscard]] begin_decision begin(
        order_request const& request, time_point now);

    /// Records the answer of an order that has run. An answer that would exceed
    /// `m_max_bytes` is not stored; resends then get `outcome_unknown`.
    void finish(std::string const& key, stored_answer answer, time_point now);

    /// Removes the record of an order that has not run, so that a later attempt
    /// may begin the order.
    void discard(std::string const& key);

    /// Records that the order may have run and that no answer will arrive.
    void mark_outcome_unknown(std::string const& key, time_point now);

    /// Returns the state of a key to an ingress that lost the connection on
    /// which it sent the attempt with the id `attempt`. If the key has no
    /// record, the attempt becomes void for `horizon`: it is refused if it
    /// still arrives. Other attempts may run. If there is no room to record
    /// that, returns `outcome_unknown`.
    [[nodiscard]] look_up_result look_up(
        std::string const& key, std::string const& attempt, duration horizon,
        time_point now);

    /// Transfers the ownership of a key from this node to the node that
    /// requests it, and returns the state of the key. If the key has no record,
    /// it becomes void here for `horizon`, for every attempt. If there is no
    /// room to record that, returns `outcome_unknown`.
    [[nodiscard]] look_up_result transfer_ownership(
        std::string const& key, duration horizon, time_point now);

    /// Removes records whose horizon has passed, except those of running
    /// orders.
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const noexcept;
    [[nodiscard]] std::size_t bytes() const noexcept;

private:
    struct running_state
    {
    };
    struct unknown_state
    {
    };
    struct void_state
    {
    };
    using state =
        std::variant<running_state, stored_answer, unknown_state, void_state>;

    struct record
    {
        state m_state;
        std::uint64_t m_fingerprint = 0;
        duration m_horizon{0};
        time_point m_changed_at;
    };

    [[nodiscard]] static look_up_result result_of(record const& found);

    struct expiry
    {
        time_point m_at;
        std::string m_key;
    };

    using record_map = std::unordered_map<std::string, record>;

    [[nodiscard]] bool has_room_for(std::string const& key) const noexcept;
    void insert(std::string const& key, record value);
    void set_state(
        record& value, state next, time_point now, std::string const& key);
    [[nodiscard]] look_up_result insert_void(
        std::string const& key, duration horizon, time_point now);
    void erase(record_map::iterator it);
    [[nodiscard]] static std::size_t bytes_of(
        std::string const& key, record const& value) noexcept;

    order_records_options m_options;
    record_map m_records;
    std::deque<expiry> m_expiries;
    std::size_t m_bytes = 0;
};

} // namespace hibiscustide::core::orders

#endif
