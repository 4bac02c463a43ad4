/// \file
/// What a published item means.
#ifndef HIBISCUSTIDE_CORE_DIRECTORY_CHANGE_HPP
#define HIBISCUSTIDE_CORE_DIRECTORY_CHANGE_HPP

#include <string>
#include <variant>

#include <hibiscustide/core/directory/configuration.hpp>
#include <hibiscustide/core/directory/target.hpp>
#include <hibiscustide/core/error.hpp>

namespace hibiscustide::core::directory
{

/// The target with this instance is gone.
struct target_removed
{
    std::string m_instance;
};

/// The failure domain must get no requests, or may get them again.
struct domain_status_changed
{
    std::string m_failure_domain;
    bool m_withdrawn = true;
};

/// The item can't be used; what was in force before stays.
struct change_rejected
{
    field_errors m_errors;
};

/// The item is nothing that requests are routed by.
struct change_ignored
{
};

using change = std::variant<
    configuration, target, target_removed, domain_status_changed,
    change_rejected, change_ignored>;

} // namespace hibiscustide::core::directory

#endif
