/// \file
/// Keeps retries to a share of the traffic.
#ifndef HIBISCUSTIDE_CORE_RETRY_RETRY_BUDGET_HPP
#define HIBISCUSTIDE_CORE_RETRY_RETRY_BUDGET_HPP

namespace hibiscustide::core::retry
{

/// Each first attempt earns a share of one retry; each retry spends one. What
/// is earned and not spent is bounded, so that a quiet hour doesn't pay for a
/// storm. Not thread-safe.
class retry_budget
{
public:
    /// The most retries that can be saved up.
    static constexpr double max_saved = 10.0;

    /// A first attempt of a service whose note allows `share` retries for each
    /// request.
    void deposit(double share) noexcept;

    /// Takes one retry; false where none is left.
    [[nodiscard]] bool try_withdraw() noexcept;

private:
    double m_saved = max_saved;
};

} // namespace hibiscustide::core::retry

#endif
