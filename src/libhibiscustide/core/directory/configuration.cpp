#include <hibiscustide/core/directory/configuration.hpp>

#include <algorithm>

namespace hibiscustide::core::directory
{

service const* find_service(
    configuration const& config, std::string_view name) noexcept
{
    auto const it = std::lower_bound(
        config.m_services.begin(), config.m_services.end(), name,
        [](service const& entry, std::string_view wanted)
        {
            return entry.m_name < wanted;
        });
    bool const found = it != config.m_services.end() && it->m_name == name;
    return found ? &*it : nullptr;
}

organisation const* find_organisation(
    configuration const& config, std::string_view name) noexcept
{
    auto const& all = config.m_organisations;
    auto const it = std::lower_bound(
        all.begin(), all.end(), name,
        [](organisation const& entry, std::string_view wanted)
        {
            return entry.m_name < wanted;
        });
    return it != all.end() && it->m_name == name ? &*it : nullptr;
}

} // namespace hibiscustide::core::directory
