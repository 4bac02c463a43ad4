/// \file
/// Limits retries to a share of the requests.
#ifndef HIBISCUSTIDE_CORE_RETRY_RETRY_BUDGET_HPP
#define HIBISCUSTIDE_CORE_RETRY_RETRY_BUDGET_HPP

namespace hibiscustide::core::retry
{

/// Each first attempt deposits a fraction of a retry, and each retry withdraws
/// one. The balance is limited, so that a long time without retries can't pay
/// for a retry storm. Not thread-safe.
class retry_budget
{
public:
    /// Maximum balance, in retries.
    static constexpr double max_saved = 10.0;

    /// Counts a first attempt to a service whose configuration allows `share`
    /// retries for each request.
    void deposit(double share) noexcept;

    /// Withdraws one retry. Returns false if the balance is below one.
    [[nodiscard]] bool try_withdraw() noexcept;

private:
    double m_saved = max_saved;
};

} // namespace hibiscustide::core::retry

#endif
