/// \file
/// Propagates the cancellation of a call to the operations made for it.
#ifndef HIBISCUSTIDE_NET_CANCEL_SCOPE_HPP
#define HIBISCUSTIDE_NET_CANCEL_SCOPE_HPP

#include <functional>
#include <utility>

namespace hibiscustide::net
{

/// The cancellation state of one call. Not thread-safe.
class cancel_scope
{
public:
    /// Marks the call as cancelled, because its caller has disconnected, and
    /// runs the hook. Only the first call has an effect.
    void cancel()
    {
        if (std::exchange(m_cancelled, true))
        {
            return;
        }
        if (m_hook)
        {
            m_hook();
        }
    }

    [[nodiscard]] bool is_cancelled() const noexcept
    {
        return m_cancelled;
    }

    /// Sets the function that `cancel` runs. Replaces the previous hook.
    void on_cancel(std::function<void()> hook)
    {
        m_hook = std::move(hook);
    }

    /// Removes the hook. Must be called before any object that the hook uses is
    /// destroyed.
    void clear()
    {
        m_hook = nullptr;
    }

private:
    bool m_cancelled = false;
    std::function<void()> m_hook;
};

} // namespace hibiscustide::net

#endif
