/// \file
/// Finds the organisation of an API key.
#ifndef HIBISCUSTIDE_CORE_DIRECTORY_KEY_INDEX_HPP
#define HIBISCUSTIDE_CORE_DIRECTORY_KEY_INDEX_HPP

#include <memory>
#include <string_view>
#include <vector>

#include <hibiscustide/core/directory/configuration.hpp>
#include <hibiscustide/core/directory/key_digest.hpp>

namespace hibiscustide::core::directory
{

/// The API keys of one version of the configuration. Immutable.
class key_index
{
public:
    key_index() = default;
    explicit key_index(std::shared_ptr<configuration const> config);

    /// Whether the configuration has no organisations, so that requests need no
    /// API key.
    [[nodiscard]] bool is_empty() const noexcept;

    /// Returns the organisation with this plaintext API key, or null. The
    /// configuration owns it.
    [[nodiscard]] organisation const* find(std::string_view key) const;

private:
    struct entry
    {
        key_digest m_digest;
        organisation const* m_organisation = nullptr;
    };

    std::shared_ptr<configuration const> m_config;
    std::vector<entry> m_entries; ///< Sorted by digest.
};

} // namespace hibiscustide::core::directory

#endif
