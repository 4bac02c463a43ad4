/// \file
/// Bounds the total memory of buffers whose final sizes are unknown.
#ifndef HIBISCUSTIDE_CORE_ADMISSION_BUFFER_QUOTA_HPP
#define HIBISCUSTIDE_CORE_ADMISSION_BUFFER_QUOTA_HPP

#include <cstddef>

namespace hibiscustide::core::admission
{

struct buffer_quota_options
{
    /// Bytes of all buffers together, apart from the share that each may have.
    std::size_t m_max_total_bytes = 12'582'912;
    /// Bytes that a buffer may have even if the others use the whole quota.
    std::size_t m_min_bytes_each = 131'072;
};

/// Memory for messages that a node is receiving.
///
/// A faulty peer may send a message that never ends, on each of its
/// connections. Short messages are still received while long ones use up the
/// quota. All buffers together take at most m_max_total_bytes plus
/// m_min_bytes_each for each of them. Not thread-safe.
class buffer_quota
{
public:
    explicit buffer_quota(buffer_quota_options const& options = {}) noexcept;

    /// The memory of one buffer; freed with this object.
    class share
    {
    public:
        /// `quota` must outlive the share.
        explicit share(buffer_quota& quota) noexcept;
        ~share();

        share(share const&) = delete;
        share& operator=(share const&) = delete;

        /// Returns whether the buffer may grow to `bytes`. If not, its size
        /// stays as it is.
        [[nodiscard]] bool grow_to(std::size_t bytes) noexcept;

        /// Frees the memory beyond `bytes`.
        void shrink_to(std::size_t bytes) noexcept;

    private:
        buffer_quota& m_quota;
        std::size_t m_bytes = 0;
    };

    [[nodiscard]] std::size_t used_bytes() const noexcept;

private:
    buffer_quota_options m_options;
    std::size_t m_used_bytes = 0;
};

} // namespace hibiscustide::core::admission

#endif
