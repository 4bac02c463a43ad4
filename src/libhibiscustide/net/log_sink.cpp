#include "net/log_sink.hpp"

#include <algorithm>
#include <utility>

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace hibiscustide::net
{

namespace
{

bool is_writable(int descriptor) noexcept
{
    pollfd request{.fd = descriptor, .events = POLLOUT, .revents = 0};
    return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

} // namespace

log_sink::log_sink(int descriptor)
    : m_descriptor{descriptor}
{
}

std::uint64_t log_sink::take_dropped()
{
    std::lock_guard const lock{mutex_};
    return std::exchange(m_dropped, 0);
}

void log_sink::sink_it_(spdlog::details::log_msg const& line)
{
    if (m_buffer.size() + line.payload.size() + 1 > max_buffered_bytes)
    {
        ++m_dropped;
        return;
    }
    m_buffer.append(line.payload.data(), line.payload.size());
    m_buffer += '\n';
}

// Writes at most PIPE_BUF bytes at a time: a pipe that poll() reports as
// writable accepts that many without blocking.
void log_sink::flush_()
{
    std::size_t written = 0;
    while (written < m_buffer.size() && is_writable(m_descriptor))
    {
        auto const part =
            std::min<std::size_t>(m_buffer.size() - written, PIPE_BUF);
        auto const count =
            ::write(m_descriptor, m_buffer.data() + written, part);
        if (count <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, written);
}

} // namespace hibiscustide::net
