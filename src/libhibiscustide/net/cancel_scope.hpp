/// \file
/// Tells the parts of a call that its caller has left.
#ifndef HIBISCUSTIDE_NET_CANCEL_SCOPE_HPP
#define HIBISCUSTIDE_NET_CANCEL_SCOPE_HPP

#include <functional>
#include <utility>

namespace hibiscustide::net
{

/// One call of one caller. Used on one thread.
class cancel_scope
{
public:
    /// The caller has left: runs the hook, once.
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

    /// Runs `hook` when the caller leaves; replaces the one before.
    void on_cancel(std::function<void()> hook)
    {
        m_hook = std::move(hook);
    }

    /// Forgets the hook. Call before what it uses is destroyed.
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
