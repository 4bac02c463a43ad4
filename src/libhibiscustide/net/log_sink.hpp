/// \file
/// Writes log lines to a descriptor without ever waiting for it.
#ifndef HIBISCUSTIDE_NET_LOG_SINK_HPP
#define HIBISCUSTIDE_NET_LOG_SINK_HPP

#include <cstdint>
#include <mutex>
#include <string>

#include <spdlog/sinks/base_sink.h>

namespace hibiscustide::net
{

/// Gathers lines and writes them when it is flushed, as far as the descriptor
/// takes them. Lines beyond the buffer are dropped and counted.
class log_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    static constexpr std::size_t max_buffered_bytes = 262'144;

    explicit log_sink(int descriptor);

    /// Lines dropped since the last call.
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
