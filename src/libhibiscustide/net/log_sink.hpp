/// \file
/// A log sink that never blocks on its file descriptor.
#ifndef HIBISCUSTIDE_NET_LOG_SINK_HPP
#define HIBISCUSTIDE_NET_LOG_SINK_HPP

#include <cstdint>
#include <mutex>
#include <string>

#include <spdlog/sinks/base_sink.h>

namespace hibiscustide::net
{

/// Buffers lines and, when flushed, writes as many as the descriptor accepts
/// without blocking. Lines that do not fit into the buffer are dropped and
/// counted.
class log_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    static constexpr std::size_t max_buffered_bytes = 262'144;

    explicit log_sink(int descriptor);

    /// Returns the number of lines dropped since the last call.
    [[nodiscard]] std::uint64_t take_dropped();

protected:
    void sink_it_(spdlog::details::log_msg const& line) override;
    void flush_() override;

private:
    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

} // namespace hibiscustide::net

#endif
