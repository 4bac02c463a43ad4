/// \file
/// A home's record of the orders that it has let run.
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

/// An answer as kept for resends.
struct stored_answer
{
    unsigned m_status = 0;
    std::string m_content_type;
    std::string m_body;

    friend auto operator<=>(stored_answer const&, stored_answer const&) =
        default;
};

/// The order may run now; its record is made.
struct may_start
{
};

/// The order is running. Ask again.
struct still_running
{
};

/// The order has run; this is its first answer.
struct already_run
{
    stored_answer m_answer;
};

/// The order may have run: its answer never came, or a later home has taken
/// the key over.
struct outcome_unknown
{
};

/// The order has not run and never will here.
struct not_allowed
{
    reason m_reason = reason::key_voided;
};

using begin_decision = std::variant<
    may_start, still_running, already_run, outcome_unknown, not_allowed>;

/// What a look-up says of a key. `not_allowed` says that the order has not run
/// and that what was asked about is void from now on.
using look_up_result =
    std::variant<still_running, already_run, outcome_unknown, not_allowed>;

/// An order as it asks to run.
struct order_request
{
    std::string m_key;
    std::string m_attempt;
    /// Hash of the request: a resend with another one is refused.
    std::uint64_t m_fingerprint = 0;
    /// How long the record lasts after the last change to it.
    duration m_horizon{0};
};

struct order_records_options
{
    std::size_t m_max_records = 100'000;
    std::size_t m_max_bytes = 16'000'000; ///< Of kept answers and keys.

    friend auto operator<=>(
        order_records_options const&, order_records_options const&) = default;
};

/// The record that makes an order run at most once. The key is recorded before
/// the first byte goes to a target, so that no resend can start a second run
/// while the record lasts. Not thread-safe.
class order_records
{
public:
    explicit order_records(order_records_options const& options);

    /// Whether there is a record of the key.
    [[nodiscard]] bool contains(std::string const& key) const;

    /// An order asks to run.
    [[nodiscard]] begin_decision begin(
        order_request const& request, time_point now);

    /// The order has run and this is its answer. An answer that would go over
    /// the bound is not kept: resends are told that the order may have run.
    void finish(std::string const& key, stored_answer answer, time_point now);

    /// The order has not run; it may be begun again.
    void release(std::string const& key);

    /// The order may have run and no answer will come.
    void mark_outcome_unknown(std::string const& key, time_point now);

    /// Says what became of a key after the connection that carried `attempt`
    /// was lost. Where the key isn't known the attempt is void for `horizon`:
    /// should it still arrive, it is refused. Another attempt may run.
    [[nodiscard]] look_up_result look_up(
        std::string const& key, std::string const& attempt, duration horizon,
        time_point now);

    /// Says what became of a key that has another home now. One that isn't
    /// known is void here for `horizon`, whichever attempt brings it.
    [[nodiscard]] look_up_result hand_over(
        std::string const& key, duration horizon, time_point now);

    /// Drops records whose horizon has passed. Running orders stay.
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

    [[nodiscard]] static look_up_result outcome_of(record const& found);

    struct expiry
    {
        time_point m_at;
        std::string m_key;
    };

    using record_map = std::unordered_map<std::string, record>;

    [[nodiscard]] bool has_room_for(std::string const& key) const noexcept;
    void put(std::string const& key, record value);
    void settle(
        record& value, state next, time_point now, std::string const& key);
    [[nodiscard]] look_up_result put_void(
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
