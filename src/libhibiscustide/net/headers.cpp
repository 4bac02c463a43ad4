#include "net/headers.hpp"

#include <array>
#include <charconv>
#include <string>
#include <vector>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace hibiscustide::net::headers
{

namespace
{

constexpr std::string_view internal_prefix = "hibiscustide-";

constexpr auto hop_by_hop = std::to_array<field>(
    {field::connection, field::keep_alive, field::proxy_connection,
     field::proxy_authenticate, field::proxy_authorization, field::te,
     field::trailer, field::transfer_encoding, field::upgrade, field::expect});

boost::string_view to_beast(std::string_view text)
{
    return {text.data(), text.size()};
}

bool is_internal(beast::string_view name)
{
    auto const prefix = name.substr(0, internal_prefix.size());
    return beast::iequals(prefix, to_beast(internal_prefix)) &&
           !beast::iequals(name, to_beast(deadline_ms));
}

} // namespace

void remove_hop_by_hop(beast::http::fields& fields)
{
    std::vector<std::string> listed;
    auto const connection = fields[field::connection];
    for (auto const& token : beast::http::token_list{connection})
    {
        listed.emplace_back(token);
    }
    for (auto const& name : listed)
    {
        fields.erase(name);
    }
    for (auto const name : hop_by_hop)
    {
        fields.erase(name);
    }
}

void remove_internal(beast::http::fields& fields)
{
    std::vector<std::string> found;
    for (auto const& entry : fields)
    {
        if (is_internal(entry.name_string()))
        {
            found.emplace_back(entry.name_string());
        }
    }
    for (auto const& name : found)
    {
        fields.erase(name);
    }
}

std::string_view value_of(
    beast::http::fields const& fields, std::string_view name)
{
    auto const it = fields.find(to_beast(name));
    if (it == fields.end())
    {
        return {};
    }
    return {it->value().data(), it->value().size()};
}

void set(
    beast::http::fields& fields, std::string_view name, std::string_view value)
{
    fields.set(to_beast(name), to_beast(value));
}

std::optional<std::chrono::milliseconds> time_left(
    beast::http::fields const& fields)
{
    auto const text = value_of(fields, deadline_ms);
    std::uint32_t remaining = 0;
    auto const* const end = text.data() + text.size();
    auto const [last, error] = std::from_chars(text.data(), end, remaining);
    if (text.empty() || error != std::errc{} || last != end)
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds{remaining};
}

} // namespace hibiscustide::net::headers
