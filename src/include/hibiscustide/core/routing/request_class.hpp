/// \file
/// Determines the class of a request from its path.
#ifndef HIBISCUSTIDE_CORE_ROUTING_REQUEST_CLASS_HPP
#define HIBISCUSTIDE_CORE_ROUTING_REQUEST_CLASS_HPP

#include <optional>
#include <string_view>

#include <hibiscustide/core/release/note.hpp>

namespace hibiscustide::core::routing
{

/// Returns the class of the route with the longest prefix that the path starts
/// with, or nothing if no route matches. A query ("?...") is ignored.
[[nodiscard]] std::optional<release::request_class> class_of(
    release::service_spec const& service, std::string_view path) noexcept;

/// Whether a request of this class may be retried although its first attempt
/// may have run.
[[nodiscard]] bool is_retriable(release::request_class value) noexcept;

} // namespace hibiscustide::core::routing

#endif
