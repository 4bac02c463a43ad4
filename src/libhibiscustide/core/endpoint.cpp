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
    constexpr unsigned first_multicast_octet = 224;
    auto const* const text = value.m_address.c_str();
    in6_addr v6{};
    if (inet_pton(AF_INET6, text, &v6) == 1)
    {
        return value.m_port != 0 && !IN6_IS_ADDR_UNSPECIFIED(&v6) &&
               !IN6_IS_ADDR_MULTICAST(&v6) && !IN6_IS_ADDR_LINKLOCAL(&v6);
    }
    // The network 0 means this machine. The reserved networks and the address
    // of a broadcast follow the multicast networks.
    std::array<unsigned char, sizeof(in_addr)> octets{};
    return inet_pton(AF_INET, text, octets.data()) == 1 && value.m_port != 0 &&
           octets.front() != 0 && octets.front() < first_multicast_octet;
}

std::string to_string(endpoint const& value)
{
    bool const is_ipv6 = value.m_address.find(':') != std::string::npos;
    auto const host = is_ipv6 ? "[" + value.m_address + "]" : value.m_address;
    return host + ":" + std::to_string(value.m_port);
}

} // namespace hibiscustide::core
