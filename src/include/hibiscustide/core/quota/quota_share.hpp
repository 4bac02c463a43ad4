/// \file
/// The tokens of an ingress: leases from owners, and its fallback.
#ifndef HIBISCUSTIDE_CORE_QUOTA_QUOTA_SHARE_HPP
#define HIBISCUSTIDE_CORE_QUOTA_QUOTA_SHARE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <hibiscustide/core/quota/quota_fleet.hpp>
#include <hibiscustide/core/quota/quota_owner.hpp>
#include <hibiscustide/core/quota/token_bucket.hpp>

namespace hibiscustide::core::quota
{

/// The request has a token.
struct quota_granted
{
    time_point m_granted_at{}; ///< For give_back.
};

/// The request is over the quota.
struct quota_refused
{
    duration m_retry_after{}; ///< Until the quota has room.
};

/// The request waits: the message is to be sent, and on_timeout is to be called
/// if there is no reply by the time given.
struct quota_wait
{
    std::string m_to; ///< Address of the owner, or of this node.
    quota_request m_message;
    time_point m_until{};
};

/// The next step of a request for a token.
using quota_step = std::variant<quota_granted, quota_refused, quota_wait>;

/// Totals since the start of the process, in tokens.
struct quota_counts
{
    std::uint64_t m_granted = 0;  ///< By owners and deputies.
    std::uint64_t m_expired = 0;  ///< Not used in time.
    std::uint64_t m_fallback = 0; ///< Of the node's own fixed share.
    std::uint64_t m_returned = 0; ///< By requests that did not run.
    std::uint64_t m_refused = 0;  ///< Requests over their quota.
};

/// Gets tokens for the requests of an ingress. Not thread-safe.
class quota_share
{
public:
    /// Time after which a lost message is sent again.
    static constexpr duration resend_interval = std::chrono::milliseconds{25};

    /// Number of times that a message is sent to one node.
    static constexpr std::size_t max_sends = 4;

    /// A node that did not reply is not asked again for this long.
    static constexpr duration silence_time = std::chrono::milliseconds{500};

    /// Number of requests that may wait for a grant. A further one uses the
    /// node's own share.
    static constexpr std::size_t max_waiting = 4'096;

    quota_share(quota_options options, quota_fleet const& fleet);

    /// Begins to get a token for a request of an organisation that has a limit.
    [[nodiscard]] quota_step acquire(
        organisation_id organisation, quota_limit const& limit, time_point now);

    /// Handles a reply. Returns nothing if the request that it belongs to does
    /// not wait any longer; its tokens are kept for the lease time.
    [[nodiscard]] std::optional<quota_step> on_grant(
        std::string const& from, quota_grant const& grant, time_point now);

    /// Handles that there was no reply in time.
    [[nodiscard]] quota_step on_timeout(std::uint64_t sequence, time_point now);

    /// Ends the wait of a request whose caller is gone. Tokens that are granted
    /// to it are kept for the lease time.
    void cancel(std::uint64_t sequence);

    /// Returns the token of a request that did not run.
    void give_back(
        organisation_id organisation, quota_granted const& token,
        time_point now);

    /// Removes the state of organisations that were not used recently or that
    /// have no limit. To be called at least once a second.
    void update(
        std::function<quota_limit(organisation_id)> const& limit_of,
        time_point now);

    [[nodiscard]] quota_counts const& counts() const noexcept;

    /// Number of organisations with state, and of waiting requests.
    [[nodiscard]] std::size_t size() const noexcept;
    [[nodiscard]] std::size_t waiting() const noexcept;

private:
    struct entry
    {
        std::vector<time_point> m_lease_ends; ///< One for each spare token.
        std::optional<token_bucket> m_fallback;
        double m_arrivals = 0; ///< Requests per second, moving average.
        time_point m_last_arrival_at{};
    };

    struct pending
    {
        organisation_id m_organisation = 0;
        quota_limit m_limit;
        std::vector<std::string> m_nodes; ///< Still to be asked, last first.
        std::size_t m_sends = 0;
        std::uint32_t m_wanted = 1;
        time_point m_began_at{};
    };

    [[nodiscard]] quota_step send(
        std::uint64_t sequence, pending& each, time_point now);
    [[nodiscard]] quota_step ask_next(
        std::uint64_t sequence, pending& each, time_point now);
    [[nodiscard]] quota_step use_fallback(
        organisation_id organisation, quota_limit const& limit, time_point now);
    void count_arrival(entry& each, time_point now) const;
    void drop_expired(entry& each, time_point now);
    [[nodiscard]] bool is_silent(
        std::string const& address, time_point now) const;

    quota_options m_options;
    quota_fleet const& m_fleet;
    std::map<organisation_id, entry> m_entries;
    std::map<std::uint64_t, pending> m_pending;
    std::map<std::string, time_point> m_silent_since;
    std::uint64_t m_next_sequence = 1;
    quota_counts m_counts;
};

} // namespace hibiscustide::core::quota

#endif
