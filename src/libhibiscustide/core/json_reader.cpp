#include <hibiscustide/core/json_reader.hpp>

#include <algorithm>
#include <memory>
#include <utility>

#include <json/reader.h>
#include <json/writer.h>

namespace hibiscustide::core
{

namespace
{

Json::Value const& empty_object()
{
    static Json::Value const value{Json::objectValue};
    return value;
}

Json::CharReaderBuilder make_strict_builder()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    return builder;
}

// Removes the leading asterisk and the line breaks of a jsoncpp message.
std::string to_single_line(std::string text)
{
    std::replace(text.begin(), text.end(), '\n', ' ');
    auto const first = text.find_first_not_of("* ");
    auto const last = text.find_last_not_of(' ');
    if (first == std::string::npos)
    {
        return "is not valid JSON";
    }
    return text.substr(first, last - first + 1);
}

template <typename Number>
std::string out_of_bounds_message(bounds<Number> allowed)
{
    return "must be between " + std::to_string(allowed.m_min) + " and " +
           std::to_string(allowed.m_max);
}

} // namespace

std::optional<Json::Value> parse_json(
    std::string_view text, std::string const& source, field_errors& errors)
{
    static Json::CharReaderBuilder const builder = make_strict_builder();
    std::unique_ptr<Json::CharReader> const reader{builder.newCharReader()};
    Json::Value value;
    std::string message;
    // jsoncpp takes a zero byte for the end of the text.
    if (text.find('\0') != std::string_view::npos)
    {
        errors.push_back(
            {.m_source = source,
             .m_field = "(document)",
             .m_reason = "contains a zero byte"});
        return std::nullopt;
    }
    // jsoncpp throws if the nesting is too deep. The exception is reported like
    // any other syntax error.
    try
    {
        char const* const begin = text.data();
        if (reader->parse(begin, begin + text.size(), &value, &message))
        {
            return value;
        }
    }
    catch (Json::Exception const& failure)
    {
        message = failure.what();
    }
    errors.push_back(
        {.m_source = source,
         .m_field = "(document)",
         .m_reason = to_single_line(message)});
    return std::nullopt;
}

std::string write_json(Json::Value const& value)
{
    static Json::StreamWriterBuilder const builder = []
    {
        Json::StreamWriterBuilder compact;
        compact["indentation"] = "";
        compact["precision"] = 6;
        return compact;
    }();
    return Json::writeString(builder, value);
}

json_reader::json_reader(
    Json::Value const& object, std::string source, std::string path,
    field_errors& errors)
    : m_object{&object},
      m_source{std::move(source)},
      m_path{std::move(path)},
      m_errors{&errors}
{
    if (!object.isObject())
    {
        m_errors->push_back(
            {.m_source = m_source,
             .m_field = m_path.empty() ? "(document)" : m_path,
             .m_reason = "must be an object"});
        m_object = &empty_object();
    }
}

void json_reader::allow_only(
    std::initializer_list<std::string_view> names) const
{
    for (auto const& name : m_object->getMemberNames())
    {
        if (std::find(names.begin(), names.end(), name) == names.end())
        {
            add_error(name, "is not a known field");
        }
    }
}

bool json_reader::has(char const* name) const
{
    return find(name) != nullptr;
}

std::string json_reader::required_string(char const* name) const
{
    auto text = string_or(name, "");
    auto const* value = find(name);
    if (text.empty() && (value == nullptr || value->isString()))
    {
        add_error(name, value == nullptr ? "is missing" : "must not be empty");
    }
    return text;
}

std::string json_reader::string_or(
    char const* name, std::string const& default_value) const
{
    auto const* value = find(name);
    if (value == nullptr)
    {
        return default_value;
    }
    if (!value->isString())
    {
        add_error(name, "must be a string");
        return default_value;
    }
    return value->asString();
}

std::uint64_t json_reader::required_uint(
    char const* name, bounds<std::uint64_t> allowed) const
{
    if (find(name) == nullptr)
    {
        add_error(name, "is missing");
        return allowed.m_min;
    }
    return uint_or(name, allowed.m_min, allowed);
}

std::uint64_t json_reader::uint_or(
    char const* name, std::uint64_t default_value,
    bounds<std::uint64_t> allowed) const
{
    auto const* value = find(name);
    if (value == nullptr)
    {
        return default_value;
    }
    if (!value->isUInt64())
    {
        add_error(name, "must be a non-negative integer");
        return default_value;
    }
    auto const number = value->asUInt64();
    if (number < allowed.m_min || number > allowed.m_max)
    {
        add_error(name, out_of_bounds_message(allowed));
        return default_value;
    }
    return number;
}

std::uint64_t json_reader::required_rounded(
    char const* name, bounds<std::uint64_t> allowed) const
{
    if (find(name) == nullptr)
    {
        add_error(name, "is missing");
        return allowed.m_min;
    }
    return rounded_or(name, allowed.m_min, allowed);
}

std::uint64_t json_reader::rounded_or(
    char const* name, std::uint64_t default_value,
    bounds<std::uint64_t> allowed) const
{
    auto const* value = find(name);
    if (value == nullptr)
    {
        return default_value;
    }
    if (!value->isNumeric() || value->asDouble() < 0)
    {
        add_error(name, "must be a non-negative number");
        return default_value;
    }
    auto const number = value->asDouble();
    if (number >= static_cast<double>(allowed.m_max))
    {
        return allowed.m_max;
    }
    auto const floor = static_cast<std::uint64_t>(number);
    bool const has_fraction = number > static_cast<double>(floor);
    auto const least =
        has_fraction ? std::max<std::uint64_t>(allowed.m_min, 1) : 0;
    auto const rounded = std::max(floor, least);
    if (rounded < allowed.m_min)
    {
        add_error(name, out_of_bounds_message(allowed));
        return default_value;
    }
    return rounded;
}

double json_reader::required_number(
    char const* name, bounds<double> allowed) const
{
    if (find(name) == nullptr)
    {
        add_error(name, "is missing");
        return allowed.m_min;
    }
    return number_or(name, allowed.m_min, allowed);
}

double json_reader::number_or(
    char const* name, double default_value, bounds<double> allowed) const
{
    auto const* value = find(name);
    if (value == nullptr)
    {
        return default_value;
    }
    if (!value->isNumeric())
    {
        add_error(name, "must be a number");
        return default_value;
    }
    auto const number = value->asDouble();
    if (number < allowed.m_min || number > allowed.m_max)
    {
        add_error(name, out_of_bounds_message(allowed));
        return default_value;
    }
    return number;
}

bool json_reader::bool_or(char const* name, bool default_value) const
{
    auto const* value = find(name);
    if (value == nullptr)
    {
        return default_value;
    }
    if (!value->isBool())
    {
        add_error(name, "must be true or false");
        return default_value;
    }
    return value->asBool();
}

std::vector<json_reader> json_reader::objects(char const* name) const
{
    std::vector<json_reader> readers;
    auto const* value = find(name);
    if (value == nullptr)
    {
        return readers;
    }
    if (!value->isArray())
    {
        add_error(name, "must be an array");
        return readers;
    }
    for (Json::ArrayIndex n = 0; n < value->size(); ++n)
    {
        auto path = path_of(name) + "[" + std::to_string(n) + "]";
        readers.emplace_back((*value)[n], m_source, std::move(path), *m_errors);
    }
    return readers;
}

std::vector<std::string> json_reader::strings(char const* name) const
{
    std::vector<std::string> texts;
    auto const* value = find(name);
    if (value == nullptr)
    {
        return texts;
    }
    if (!value->isArray())
    {
        add_error(name, "must be an array");
        return texts;
    }
    for (auto const& element : *value)
    {
        if (!element.isString() || element.asString().empty())
        {
            add_error(name, "must contain only non-empty strings");
            continue;
        }
        texts.push_back(element.asString());
    }
    return texts;
}

json_reader json_reader::object(char const* name) const
{
    auto const* value = find(name);
    return {
        value == nullptr ? empty_object() : *value, m_source, path_of(name),
        *m_errors};
}

void json_reader::add_error(
    std::string const& name, std::string const& message) const
{
    m_errors->push_back(
        {.m_source = m_source, .m_field = path_of(name), .m_reason = message});
}

Json::Value const* json_reader::find(char const* name) const
{
    return m_object->isMember(name) ? &(*m_object)[name] : nullptr;
}

std::string json_reader::path_of(std::string const& name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

} // namespace hibiscustide::core
