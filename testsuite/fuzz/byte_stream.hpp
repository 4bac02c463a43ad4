/// \file
/// Passes bytes to a reader of a socket, as a whole or in two pieces.
#ifndef HIBISCUSTIDE_FUZZ_BYTE_STREAM_HPP
#define HIBISCUSTIDE_FUZZ_BYTE_STREAM_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <exception>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include "fuzz_target.hpp"
#include "net/http_types.hpp"

namespace hibiscustide::fuzz
{

/// The socket of a reader and the other end, to which the input is written. A
/// local socket pair takes no ports and leaves no closed connections behind.
class byte_stream
{
public:
    explicit byte_stream(net::asio::io_context& context)
        : m_context{context},
          m_socket{context}
    {
        std::array<int, 2> ends{};
        bool const made =
            ::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0;
        require(made, "a socket pair can be made");
        m_socket.assign(net::asio::ip::tcp::v4(), ends[0]);
        m_writer = ends[1];
    }

    ~byte_stream()
    {
        ::close(m_writer);
    }

    byte_stream(byte_stream const&) = delete;
    byte_stream& operator=(byte_stream const&) = delete;

    /// Returns the socket of the reader. May be called once.
    [[nodiscard]] net::asio::ip::tcp::socket take_socket()
    {
        return std::move(m_socket);
    }

    /// Runs a reader while the bytes arrive, those behind `split` later than
    /// the others, and then the end of the stream.
    void run(
        net::awaitable<void> reader, std::string_view bytes, std::size_t split)
    {
        bool ended = false;
        net::asio::co_spawn(
            m_context, std::move(reader),
            [&ended](std::exception_ptr const& failure)
            {
                require(failure == nullptr, "a reader throws no exception");
                ended = true;
            });
        run_while_bytes_arrive(bytes, split);
        require(ended, "a reader ends when the stream has ended");
    }

    /// Passes the bytes to a reader that runs already.
    void run_while_bytes_arrive(std::string_view bytes, std::size_t split)
    {
        write(bytes.substr(0, split));
        m_context.poll();
        write(bytes.substr(std::min(split, bytes.size())));
        ::shutdown(m_writer, SHUT_WR);
        m_context.restart();
        m_context.run();
        m_context.restart();
    }

private:
    void write(std::string_view bytes) const
    {
        // A reader that has closed its socket does not take the rest.
        static_cast<void>(
            ::send(m_writer, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

    net::asio::io_context& m_context;
    net::asio::ip::tcp::socket m_socket;
    int m_writer = -1;
};

/// Position at which an input of this size is split; the first byte of the
/// input selects it.
[[nodiscard]] inline std::size_t split_of(std::string_view bytes) noexcept
{
    auto const selector = static_cast<unsigned char>(bytes.front());
    return (bytes.size() - 1) * selector / 256;
}

} // namespace hibiscustide::fuzz

#endif
