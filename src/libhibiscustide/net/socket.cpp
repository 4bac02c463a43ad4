#include "net/socket.hpp"

#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/ip/address.hpp>

namespace hibiscustide::net
{

namespace
{

ssize_t peek(int descriptor) noexcept
{
    char byte = 0;
    return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

bool would_block() noexcept
{
    return errno == EAGAIN || errno == EWOULDBLOCK;
}

boost::system::error_code set_reuse_port(int descriptor) noexcept
{
    int const on = 1;
    if (::setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) !=
        0)
    {
        return {errno, boost::system::system_category()};
    }
    return {};
}

} // namespace

boost::asio::ip::tcp::endpoint to_asio(core::endpoint const& value)
{
    return {boost::asio::ip::make_address(value.m_address), value.m_port};
}

bool is_closed_by_peer(int descriptor) noexcept
{
    auto const count = peek(descriptor);
    return count == 0 || (count < 0 && !would_block());
}

// A reset leaves the state TCP_CLOSE, also if a write has taken its error, so
// that a read sees the end of the stream.
bool is_ended_in_order(int descriptor) noexcept
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    bool const is_known =
        ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
        size > 0;
    return is_known && info.tcpi_state == TCP_CLOSE_WAIT;
}

bool has_unread_data(int descriptor) noexcept
{
    return peek(descriptor) > 0;
}

std::size_t unconfirmed_bytes(int descriptor) noexcept
{
    int bytes = 0;
    bool const is_available = ::ioctl(descriptor, TIOCOUTQ, &bytes) == 0;
    return is_available && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

bool is_idle(int descriptor) noexcept
{
    return peek(descriptor) < 0 && would_block();
}

std::optional<std::string> open_listener(
    boost::asio::ip::tcp::acceptor& acceptor, core::endpoint const& listen,
    bool reuse_port)
{
    namespace asio = boost::asio;
    auto const address = to_asio(listen);
    boost::system::error_code error;
    acceptor.open(address.protocol(), error);
    if (!error)
    {
        acceptor.set_option(asio::socket_base::reuse_address{true}, error);
    }
    if (!error && reuse_port)
    {
        error = set_reuse_port(acceptor.native_handle());
    }
    if (!error)
    {
        acceptor.bind(address, error);
    }
    if (!error)
    {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        return core::to_string(listen) + ": " + error.message();
    }
    return std::nullopt;
}

void set_bind_no_port(int descriptor) noexcept
{
    int const on = 1;
    static_cast<void>(::setsockopt(
        descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on)));
}

void enable_keepalive(int descriptor) noexcept
{
    constexpr int on = 1;
    constexpr int probe_delay_s = 1;
    constexpr int probe_interval_s = 1;
    constexpr int max_probes = 2;
    constexpr unsigned user_timeout_ms = 2'500;
    auto const set = [descriptor](int level, int name, auto value)
    {
        static_cast<void>(
            ::setsockopt(descriptor, level, name, &value, sizeof(value)));
    };
    set(SOL_SOCKET, SO_KEEPALIVE, on);
    set(IPPROTO_TCP, TCP_KEEPIDLE, probe_delay_s);
    set(IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set(IPPROTO_TCP, TCP_KEEPCNT, max_probes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
}

} // namespace hibiscustide::net
