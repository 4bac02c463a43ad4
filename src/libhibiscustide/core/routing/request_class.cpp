#include <hibiscustide/core/routing/request_class.hpp>

namespace hibiscustide::core::routing
{

std::optional<release::request_class> class_of(
    release::service_spec const& service, std::string_view path) noexcept
{
    auto const without_query = path.substr(0, path.find('?'));
    release::route_spec const* best = nullptr;
    for (auto const& route : service.m_routes)
    {
        bool const longer =
            best == nullptr || route.m_prefix.size() > best->m_prefix.size();
        if (longer && without_query.starts_with(route.m_prefix))
        {
            best = &route;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return best->m_class;
}

bool is_retriable(release::request_class value) noexcept
{
    return value == release::request_class::status;
}

} // namespace hibiscustide::core::routing
