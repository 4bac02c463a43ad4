#include <hibiscustide/core/endpoint.hpp>

#include <array>
#include <charconv>

#include <arpa/inet.h>

namespace hibiscustide::core
{

namespace
{

bool is_ip_address(int family, std::string const& text)
{
    // inet_pton() reads up to the first zero byte.
    bool const has_zero = text.find('\0') != std::string::npos;
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    return !has_zero && inet_pton(family, text.c_str(), binary.data()) == 1;
}

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    auto const* const end = text.data() + text.size();
    auto const [last, error] = std::from_chars(text.data(), end, port);
    if (error != std::errc{} || last != end)
    {
        return std::nullopt;
    }
    return port;
}

// The network 0 means this machine. The reserved networks and the address of a
// broadcast follow the multicast networks.
bool is_connectable_v4(unsigned first_octet) noexcept
{
    constexpr unsigned first_multicast_octet = 224;
    return first_octet != 0 && first_octet < first_multicast_octet;
}

bool is_connectable_v6(in6_addr const& address) noexcept
{
    // A connection to a mapped address goes to its IPv4 part.
    constexpr std::size_t mapped_part_offset = 12;
    if (IN6_IS_ADDR_V4MAPPED(&address))
    {
        return is_connectable_v4(address.s6_addr[mapped_part_offset]);
    }
    return !IN6_IS_ADDR_UNSPECIFIED(&address) &&
           !IN6_IS_ADDR_MULTICAST(&address) && !IN6_IS_ADDR_LINKLOCAL(&address);
}

} // namespace

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const port = parse_port(text.substr(colon + 1));
    auto host = text.substr(0, colon);
    bool const bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
    {
        host = host.substr(1, host.size() - 2);
    }
    std::string address{host};
    if (!port || !is_ip_address(bracketed ? AF_INET6 : AF_INET, address))
    {
        return std::nullopt;
    }
    return endpoint{.m_address = std::move(address), .m_port = *port};
}

bool is_connectable(endpoint const& value) noexcept
{
    auto const* const text = value.m_address.c_str();
    in6_addr v6{};
    if (inet_pton(AF_INET6, text, &v6) == 1)
    {
        return value.m_port != 0 && is_connectable_v6(v6);
    }
    std::array<unsigned char, sizeof(in_addr)> octets{};
    return inet_pton(AF_INET, text, octets.data()) == 1 && value.m_port != 0 &&
           is_connectable_v4(octets.front());
}

std::string to_string(endpoint const& value)
{
    bool const is_ipv6 = value.m_address.find(':') != std::string::npos;
    auto const host = is_ipv6 ? "[" + value.m_address + "]" : value.m_address;
    return host + ":" + std::to_string(value.m_port);
}

} // namespace hibiscustide::core
