#include "net/headers.hpp"

#include <algorithm>
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

bool is_same_name(std::string_view one, std::string_view other)
{
    return beast::iequals(to_beast(one), to_beast(other));
}

std::vector<std::string> names_in_connection(beast::http::fields const& fields)
{
    std::vector<std::string> names;
    auto const connection = fields[field::connection];
    for (auto const& token : beast::http::token_list{connection})
    {
        names.emplace_back(token);
    }
    return names;
}

void remove_fields(
    beast::http::fields& fields, std::vector<std::string> const& names)
{
    for (auto const& name : names)
    {
        fields.erase(name);
    }
}

} // namespace

void remove_hop_by_hop(beast::http::fields& fields)
{
    remove_fields(fields, names_in_connection(fields));
    for (auto const name : hop_by_hop)
    {
        fields.erase(name);
    }
}

// The fields of the fixed list are interpreted, so that none is a long one.
void remove_hop_by_hop(http_request& request)
{
    for (auto const& name : names_in_connection(request))
    {
        std::erase_if(
            request.m_long_fields,
            [&name](header_field const& each)
            {
                return is_same_name(each.m_name, name);
            });
    }
    remove_hop_by_hop(static_cast<beast::http::fields&>(request));
}

bool is_interpreted(field name) noexcept
{
    return name == field::host || name == field::content_length ||
           std::find(hop_by_hop.begin(), hop_by_hop.end(), name) !=
               hop_by_hop.end();
}

bool can_store(
    header_fields const& long_fields, std::string_view name,
    std::string_view value) noexcept
{
    return name.size() <= max_stored_bytes &&
           value.size() <= max_stored_bytes &&
           std::none_of(
               long_fields.begin(), long_fields.end(),
               [name](header_field const& each)
               {
                   return is_same_name(each.m_name, name);
               });
}

void append(
    header_fields& long_fields, std::string_view name, std::string_view value)
{
    constexpr std::string_view white_space = " \t";
    auto const begin =
        std::min(value.find_first_not_of(white_space), value.size());
    auto const end = value.find_last_not_of(white_space) + 1;
    long_fields.push_back(
        {.m_name = std::string{name},
         .m_value = std::string{value.substr(begin, end - begin)}});
}

void remove_long_fields(
    http_request& request, beast::http::fields const& fields)
{
    std::erase_if(
        request.m_long_fields,
        [&fields](header_field const& each)
        {
            return fields.find(to_beast(each.m_name)) != fields.end();
        });
}

void add(http_request& request, std::string_view name, std::string_view value)
{
    if (can_store(request.m_long_fields, name, value))
    {
        request.insert(to_beast(name), to_beast(value));
        return;
    }
    append(request.m_long_fields, name, value);
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
    remove_fields(fields, found);
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
