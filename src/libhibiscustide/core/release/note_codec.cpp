#include <hibiscustide/core/release/note_codec.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <utility>

#include <json/value.h>

#include <hibiscustide/core/endpoint.hpp>
#include <hibiscustide/core/json_reader.hpp>
#include <hibiscustide/core/release/digest.hpp>

namespace hibiscustide::core::release
{

namespace
{

constexpr std::size_t max_name_length = 128;
constexpr std::size_t digest_length = 32;
constexpr std::uint64_t max_revision = 1ULL << 53U;

constexpr bounds<std::uint64_t> slots_bounds{1, 10'000};
constexpr bounds<std::uint64_t> connections_bounds{1, 10'000};
constexpr bounds<std::uint64_t> probe_cost_us_bounds{0, 1'000'000};
constexpr bounds<double> retry_share_bounds{0.0, 0.5};
constexpr bounds<std::uint64_t> timeout_ms_bounds{1, 600'000};
constexpr bounds<std::uint64_t> resend_horizon_s_bounds{1, 3'600};

constexpr std::uint64_t default_probe_cost_us = 1'000;
constexpr double default_retry_share = 0.1;
constexpr std::uint64_t default_timeout_ms = 5'000;
constexpr std::uint64_t default_resend_horizon_s = 60;

struct class_name
{
    request_class m_class;
    std::string_view m_name;
};

constexpr auto class_names = std::to_array<class_name>({
    {request_class::live, "live"},
    {request_class::status, "status"},
    {request_class::background, "background"},
    {request_class::internal, "internal"},
    {request_class::order, "order"},
});

std::optional<request_class> parse_class(std::string_view name)
{
    for (auto const& entry : class_names)
    {
        if (entry.m_name == name)
        {
            return entry.m_class;
        }
    }
    return std::nullopt;
}

// Names are used in headers, logs and metric labels, so only the characters of
// host names are allowed.
bool is_valid_name(std::string_view text)
{
    auto const allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '.';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_valid_digest(std::string_view text)
{
    auto const is_digit = [](char c)
    {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    return text.size() == digest_length &&
           std::all_of(text.begin(), text.end(), is_digit);
}

// A request target has no other characters.
bool is_visible_ascii(std::string_view text)
{
    auto const is_visible = [](char c)
    {
        return c > ' ' && c <= '~';
    };
    return std::all_of(text.begin(), text.end(), is_visible);
}

std::string read_name(json_reader const& reader, char const* field)
{
    auto name = reader.required_string(field);
    if (!name.empty() && !is_valid_name(name))
    {
        reader.add_error(
            field,
            "must contain only a-z, 0-9, '-' and '.', at most 128 characters");
    }
    return name;
}

std::string read_endpoint(json_reader const& reader, char const* field)
{
    auto text = reader.required_string(field);
    if (!text.empty() && !parse_endpoint(text))
    {
        reader.add_error(field, "must be an IP address and a port, ip:port");
    }
    return text;
}

route_spec read_route(json_reader const& reader)
{
    reader.allow_only({"prefix", "class"});
    auto prefix = reader.required_string("prefix");
    if (!prefix.empty() && prefix.front() != '/')
    {
        reader.add_error("prefix", "must start with '/'");
    }
    if (!is_visible_ascii(prefix))
    {
        reader.add_error(
            "prefix", "must contain only visible ASCII characters");
    }
    auto const text = reader.required_string("class");
    auto const found = parse_class(text);
    if (!text.empty() && !found)
    {
        reader.add_error(
            "class", "must be live, status, background, internal or order");
    }
    return {
        .m_prefix = std::move(prefix),
        .m_class = found.value_or(request_class::live)};
}

std::vector<route_spec> read_routes(json_reader const& reader)
{
    std::vector<route_spec> routes;
    for (auto const& element : reader.objects("routes"))
    {
        auto route = read_route(element);
        auto const has_same_prefix = [&](route_spec const& other)
        {
            return other.m_prefix == route.m_prefix;
        };
        if (std::any_of(routes.begin(), routes.end(), has_same_prefix))
        {
            element.add_error("prefix", "is a duplicate in this service");
        }
        routes.push_back(std::move(route));
    }
    if (routes.empty())
    {
        reader.add_error("routes", "must contain at least one route");
    }
    return routes;
}

// The share is rounded to the digits that write_note writes, so that a written
// note has the same share.
double read_retry_share(json_reader const& reader)
{
    constexpr double millionths = 1e6;
    auto const share = reader.number_or(
        "retry_share", default_retry_share, retry_share_bounds);
    return std::round(share * millionths) / millionths;
}

std::uint32_t narrow(std::uint64_t value)
{
    return static_cast<std::uint32_t>(value);
}

service_spec read_spec(json_reader const& reader, service_spec const*)
{
    reader.allow_only(
        {"name", "slots", "cold_slots", "connections", "probe_cost_us",
         "retry_share", "timeout_ms", "resend_horizon_s", "routes"});
    auto const slots = reader.required_uint("slots", slots_bounds);
    auto const cold_slots =
        reader.uint_or("cold_slots", 1, {slots_bounds.m_min, slots});
    return {
        .m_name = read_name(reader, "name"),
        .m_slots = narrow(slots),
        .m_cold_slots = narrow(cold_slots),
        .m_connections =
            narrow(reader.uint_or("connections", slots, connections_bounds)),
        .m_probe_cost = std::chrono::microseconds{reader.uint_or(
            "probe_cost_us", default_probe_cost_us, probe_cost_us_bounds)},
        .m_retry_share = read_retry_share(reader),
        .m_timeout = std::chrono::milliseconds{reader.uint_or(
            "timeout_ms", default_timeout_ms, timeout_ms_bounds)},
        .m_resend_horizon = std::chrono::seconds{reader.uint_or(
            "resend_horizon_s", default_resend_horizon_s,
            resend_horizon_s_bounds)},
        .m_routes = read_routes(reader)};
}

target_spec read_spec(json_reader const& reader, target_spec const*)
{
    reader.allow_only({"name", "service", "failure_domain", "node"});
    return {
        .m_name = read_name(reader, "name"),
        .m_service = read_name(reader, "service"),
        .m_failure_domain = read_name(reader, "failure_domain"),
        .m_node = read_endpoint(reader, "node")};
}

failure_domain_spec read_spec(
    json_reader const& reader, failure_domain_spec const*)
{
    reader.allow_only({"name", "region"});
    return {
        .m_name = read_name(reader, "name"),
        .m_region = read_name(reader, "region")};
}

template <typename Spec>
std::vector<Spec> read_specs(json_reader const& reader, char const* name)
{
    std::vector<Spec> specs;
    for (auto const& element : reader.objects(name))
    {
        specs.push_back(read_spec(element, static_cast<Spec const*>(nullptr)));
    }
    return specs;
}

template <typename Spec>
changes<Spec> read_changes(json_reader const& note, char const* name)
{
    auto const reader = note.object(name);
    reader.allow_only({"added", "changed", "withdrawn"});
    auto withdrawn = reader.strings("withdrawn");
    if (!std::all_of(withdrawn.begin(), withdrawn.end(), is_valid_name))
    {
        reader.add_error(
            "withdrawn",
            "must contain only names of a-z, 0-9, '-' and '.', at most 128 "
            "characters");
    }
    return {
        .m_added = read_specs<Spec>(reader, "added"),
        .m_changed = read_specs<Spec>(reader, "changed"),
        .m_withdrawn = std::move(withdrawn)};
}

void check_checkpoint(json_reader const& reader, release_note const& note)
{
    // A withdrawn failure domain remains in the fleet, so a checkpoint lists it
    // in both "added" and "withdrawn".
    bool const only_added = note.m_services.m_changed.empty() &&
                            note.m_services.m_withdrawn.empty() &&
                            note.m_targets.m_changed.empty() &&
                            note.m_targets.m_withdrawn.empty() &&
                            note.m_failure_domains.m_changed.empty();
    if (!only_added)
    {
        reader.add_error(
            "checkpoint", "must list the complete state under 'added'");
    }
}

void check_chain(json_reader const& reader, release_note const& note)
{
    bool const first = note.m_revision == 1;
    if (note.m_checkpoint)
    {
        if (!is_valid_digest(note.m_digest))
        {
            reader.add_error(
                "digest", "must be a digest of 32 hexadecimal digits");
        }
        return;
    }
    if (first && !note.m_predecessor.empty())
    {
        reader.add_error("predecessor", "must be empty for revision 1");
    }
    if (!first && !is_valid_digest(note.m_predecessor))
    {
        reader.add_error(
            "predecessor", "must be a digest of 32 hexadecimal digits");
    }
}

Json::Value to_json(route_spec const& route)
{
    Json::Value value{Json::objectValue};
    value["prefix"] = route.m_prefix;
    value["class"] = std::string{to_string(route.m_class)};
    return value;
}

Json::Value to_json(service_spec const& service)
{
    Json::Value value{Json::objectValue};
    value["name"] = service.m_name;
    value["slots"] = service.m_slots;
    value["cold_slots"] = service.m_cold_slots;
    value["connections"] = service.m_connections;
    value["probe_cost_us"] = Json::Int64{service.m_probe_cost.count()};
    value["retry_share"] = service.m_retry_share;
    value["timeout_ms"] = Json::Int64{service.m_timeout.count()};
    value["resend_horizon_s"] = Json::Int64{service.m_resend_horizon.count()};
    auto& routes = value["routes"] = Json::Value{Json::arrayValue};
    for (auto const& route : service.m_routes)
    {
        routes.append(to_json(route));
    }
    return value;
}

Json::Value to_json(target_spec const& target)
{
    Json::Value value{Json::objectValue};
    value["name"] = target.m_name;
    value["service"] = target.m_service;
    value["failure_domain"] = target.m_failure_domain;
    value["node"] = target.m_node;
    return value;
}

Json::Value to_json(failure_domain_spec const& domain)
{
    Json::Value value{Json::objectValue};
    value["name"] = domain.m_name;
    value["region"] = domain.m_region;
    return value;
}

template <typename Spec>
Json::Value to_json(std::vector<Spec> const& specs)
{
    Json::Value value{Json::arrayValue};
    for (auto const& spec : specs)
    {
        value.append(to_json(spec));
    }
    return value;
}

template <typename Spec>
Json::Value to_json(changes<Spec> const& change)
{
    Json::Value value{Json::objectValue};
    if (!change.m_added.empty())
    {
        value["added"] = to_json(change.m_added);
    }
    if (!change.m_changed.empty())
    {
        value["changed"] = to_json(change.m_changed);
    }
    for (auto const& name : change.m_withdrawn)
    {
        value["withdrawn"].append(name);
    }
    return value;
}

} // namespace

std::string_view to_string(request_class value) noexcept
{
    for (auto const& entry : class_names)
    {
        if (entry.m_class == value)
        {
            return entry.m_name;
        }
    }
    return "live";
}

value_or_errors<release_note> parse_note(
    std::string_view text, std::string const& source)
{
    field_errors errors;
    if (text.size() > max_note_bytes)
    {
        errors.push_back(
            {.m_source = source,
             .m_field = "(document)",
             .m_reason = "is larger than 1000000 bytes"});
        return errors;
    }
    auto const json = parse_json(text, source, errors);
    if (!json)
    {
        return errors;
    }
    json_reader const reader{*json, source, "", errors};
    reader.allow_only(
        {"revision", "predecessor", "digest", "published_ms", "checkpoint",
         "services", "targets", "failure_domains"});
    bool const checkpoint = reader.bool_or("checkpoint", false);
    auto const given_digest = reader.string_or("digest", "");
    if (!checkpoint && !given_digest.empty())
    {
        reader.add_error("digest", "is allowed only in a checkpoint");
    }
    release_note note{
        .m_revision = reader.required_uint("revision", {1, max_revision}),
        .m_predecessor = reader.string_or("predecessor", ""),
        .m_digest = checkpoint ? given_digest : digest_of(text),
        .m_published = std::chrono::milliseconds{reader.uint_or(
            "published_ms", 0, {0, max_revision})},
        .m_checkpoint = checkpoint,
        .m_services = read_changes<service_spec>(reader, "services"),
        .m_targets = read_changes<target_spec>(reader, "targets"),
        .m_failure_domains =
            read_changes<failure_domain_spec>(reader, "failure_domains")};
    check_chain(reader, note);
    if (note.m_checkpoint)
    {
        check_checkpoint(reader, note);
    }
    if (!errors.empty())
    {
        return errors;
    }
    return note;
}

std::string write_note(release_note const& note)
{
    Json::Value value{Json::objectValue};
    value["revision"] = Json::UInt64{note.m_revision};
    value["predecessor"] = note.m_predecessor;
    value["published_ms"] = Json::Int64{note.m_published.count()};
    if (note.m_checkpoint)
    {
        value["checkpoint"] = true;
        value["digest"] = note.m_digest;
    }
    value["services"] = to_json(note.m_services);
    value["targets"] = to_json(note.m_targets);
    value["failure_domains"] = to_json(note.m_failure_domains);
    return write_json(value);
}

} // namespace hibiscustide::core::release
