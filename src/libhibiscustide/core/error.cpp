#include <hibiscustide/core/error.hpp>

namespace hibiscustide::core
{

std::string to_string(field_error const& error)
{
    return error.m_source + ": " + error.m_field + ": " + error.m_reason;
}

std::string to_string(field_errors const& errors)
{
    std::string text;
    for (auto const& error : errors)
    {
        if (!text.empty())
        {
            text += "; ";
        }
        text += to_string(error);
    }
    return text;
}

} // namespace hibiscustide::core
