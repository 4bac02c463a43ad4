/// \file
/// The quotas that a node grants to other nodes and to itself.
#ifndef HIBISCUSTIDE_CORE_QUOTA_QUOTA_OWNER_HPP
#define HIBISCUSTIDE_CORE_QUOTA_QUOTA_OWNER_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include <hibiscustide/core/quota/quota_fleet.hpp>
#include <hibiscustide/core/quota/token_bucket.hpp>

namespace hibiscustide::core::quota
{

/// Asks the owner of an organisation's quota for tokens.
struct quota_request
{
    std::uint64_t m_sequence = 0; ///< Identifies the request at its sender.
    organisation_id m_organisation = 0;
    std::uint32_t m_wanted = 1;

    friend bool operator==(quota_request const&, quota_request const&) =
        default;
};

enum class quota_outcome : std::uint8_t
{
    granted,
    exhausted,      ///< The quota has no room now.
    not_responsible ///< The receiver grants nothing of this quota.
};

/// The reply to a quota_request.
struct quota_grant
{
    std::uint64_t m_sequence = 0;
    quota_outcome m_outcome = quota_outcome::not_responsible;
    std::uint32_t m_granted = 0;
    std::uint32_t m_retry_after_ms = 0; ///< Until there is room, if exhausted.

    friend bool operator==(quota_grant const&, quota_grant const&) = default;
};

/// Grants tokens of the organisations for which this node is the owner or the
/// deputy. Holds one token bucket for each organisation that was requested
/// here. Not thread-safe.
class quota_owner
{
public:
    quota_owner(quota_options options, quota_fleet const& fleet);

    /// Time for which the reply to a request is kept for its copies. A request
    /// is sent again until 100 ms after the first time.
    static constexpr duration reply_memory = std::chrono::milliseconds{500};

    /// Replies to a request of a node for tokens of an organisation with this
    /// limit. A copy of a request gets the same reply and takes no tokens.
    [[nodiscard]] quota_grant on_request(
        std::string_view sender, quota_request const& request,
        quota_limit const& limit, time_point now);

    /// Applies a change of the fleet or of the limits. `limit_of` returns the
    /// limit of an organisation; one without a limit is removed. To be called
    /// after each change and at least once a second.
    void update(
        std::function<quota_limit(organisation_id)> const& limit_of,
        time_point now);

    /// Number of token buckets.
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct entry
    {
        token_bucket m_bucket;
        quota_role m_role;
        /// End of the wait that the last refusal stated.
        time_point m_promised_until{};
    };

    /// Identifies a request: the hash of its sender and organisation, and its
    /// sequence.
    using request_key = std::pair<std::uint64_t, std::uint64_t>;

    struct recent_reply
    {
        request_key m_request;
        time_point m_at;
    };

    [[nodiscard]] quota_grant reply_to(
        quota_request const& request, quota_limit const& limit, time_point now);
    void forget_old_replies(time_point now);
    [[nodiscard]] double rate_for(
        quota_role role, quota_limit const& limit, time_point now) const;
    [[nodiscard]] double capacity_for(
        quota_role role, quota_limit const& limit, time_point now) const;
    [[nodiscard]] double initial_tokens(
        quota_role role, quota_limit const& limit, time_point now) const;
    void apply(
        entry& each, quota_role role, quota_limit const& limit,
        time_point now) const;
    [[nodiscard]] duration promise(
        entry& each, double rate, time_point now) const;

    quota_options m_options;
    quota_fleet const& m_fleet;
    std::map<organisation_id, entry> m_entries;
    std::map<request_key, quota_grant> m_replies;
    std::deque<recent_reply> m_recent; ///< Of m_replies, oldest first.
};

} // namespace hibiscustide::core::quota

#endif
