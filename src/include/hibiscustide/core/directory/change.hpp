/// \file
/// The change to the directory that a published item describes.
///
/// A published item is a key with a value in the platform's key-value store.
#ifndef HIBISCUSTIDE_CORE_DIRECTORY_CHANGE_HPP
#define HIBISCUSTIDE_CORE_DIRECTORY_CHANGE_HPP

#include <string>
#include <variant>

#include <hibiscustide/core/directory/configuration.hpp>
#include <hibiscustide/core/directory/target.hpp>
#include <hibiscustide/core/error.hpp>

namespace hibiscustide::core::directory
{

/// The target with this instance name was removed.
struct target_removed
{
    std::string m_instance;
};

/// A failure domain was withdrawn, so that it gets no requests, or was made
/// available again.
struct domain_status_changed
{
    std::string m_failure_domain;
    bool m_withdrawn = true;
};

/// The item is invalid. The previous configuration stays in force.
struct change_rejected
{
    field_errors m_errors;
    /// The target whose entry the item is; it is no longer registered. Empty if
    /// the item is no entry of a target.
    std::string m_instance;
};

/// The item does not affect routing.
struct change_ignored
{
};

/// One decoded item. A `configuration` is a new version of the configuration,
/// and a `target` is a new or changed target.
using change = std::variant<
    configuration, target, target_removed, domain_status_changed,
    change_rejected, change_ignored>;

} // namespace hibiscustide::core::directory

#endif
