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
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    return inet_pton(family, text.c_str(), binary.data()) == 1;
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

std::string to_string(endpoint const& value)
{
    bool const is_ipv6 = value.m_address.find(':') != std::string::npos;
    auto const host = is_ipv6 ? "[" + value.m_address + "]" : value.m_address;
    return host + ":" + std::to_string(value.m_port);
}

} // namespace hibiscustide::core
