/// \file
/// Reads values and the VM list from the platform and watches values for
/// changes.
///
/// The platform's protocol is implemented only here. Support for a further
/// protocol is a further alternative of `platform_client`.
#ifndef HIBISCUSTIDE_NET_PLATFORM_CLIENT_HPP
#define HIBISCUSTIDE_NET_PLATFORM_CLIENT_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <hibiscustide/core/endpoint.hpp>

#include "net/connection_pool.hpp"
#include "net/http_types.hpp"

namespace hibiscustide::net
{

/// A value of the configuration service and the version at which it was read.
struct platform_value
{
    std::uint64_t m_version = 0;
    std::string m_text;
};

/// The service answered that the value does not exist or has not changed.
struct platform_no_value
{
};

/// The service could not be reached or sent an unexpected response.
struct platform_failure
{
};

using platform_result =
    std::variant<platform_value, platform_no_value, platform_failure>;

/// An entry of the platform's VM list.
struct listed_vm
{
    std::string m_name;
    bool m_leaving = false; ///< Listed with the state "leaving".
};

/// The complete VM list and the size of its encoded form.
struct vm_list
{
    std::vector<listed_vm> m_vms;
    std::size_t m_bytes = 0;
};

/// Accesses the platform over HTTP by GET /v1/values/KEY, GET /v1/watch/KEY and
/// GET /v1/vms.
class http_platform_client
{
public:
    http_platform_client(asio::io_context& context, core::endpoint service);

    /// Reads a value.
    awaitable<platform_result> read(std::string key);

    /// Waits up to `wait` for a version of the value later than `version`.
    awaitable<platform_result> watch(
        std::string key, std::uint64_t version, std::chrono::milliseconds wait);

    /// Reads the VM list. Returns std::nullopt if it cannot be read or parsed.
    awaitable<std::optional<vm_list>> read_vms();

private:
    awaitable<platform_result> get(
        std::string target, std::chrono::milliseconds timeout);

    connection_pool m_pool;
};

/// A client for one of the supported platform protocols.
using platform_client = std::variant<http_platform_client>;

awaitable<platform_result> read_value(platform_client& client, std::string key);
awaitable<platform_result> watch_value(
    platform_client& client, std::string key, std::uint64_t version,
    std::chrono::milliseconds wait);
awaitable<std::optional<vm_list>> read_vms(platform_client& client);

} // namespace hibiscustide::net

#endif
