#include <hibiscustide/core/directory/key_index.hpp>

#include <algorithm>
#include <cstring>
#include <utility>

namespace hibiscustide::core::directory
{

namespace
{

// The position in the index is searched by the first bytes only, so that the
// time of a search depends on no more of a configured digest than these.
std::uint64_t prefix_of(key_digest const& digest) noexcept
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, digest.m_bytes.data(), sizeof(prefix));
    return prefix;
}

} // namespace

key_index::key_index(std::shared_ptr<configuration const> config)
    : m_config{std::move(config)}
{
    for (auto const& each : m_config->m_organisations)
    {
        for (auto const& digest : each.m_keys)
        {
            m_entries.push_back({.m_digest = digest, .m_organisation = &each});
        }
    }
    std::sort(
        m_entries.begin(), m_entries.end(),
        [](entry const& left, entry const& right)
        {
            return prefix_of(left.m_digest) < prefix_of(right.m_digest);
        });
}

bool key_index::is_empty() const noexcept
{
    return m_config == nullptr || m_config->m_organisations.empty();
}

organisation const* key_index::find(std::string_view key) const
{
    auto const digest = make_key_digest(key);
    auto const prefix = prefix_of(digest);
    auto it = std::lower_bound(
        m_entries.begin(), m_entries.end(), prefix,
        [](entry const& each, std::uint64_t wanted)
        {
            return prefix_of(each.m_digest) < wanted;
        });
    for (; it != m_entries.end() && prefix_of(it->m_digest) == prefix; ++it)
    {
        if (is_equal_in_constant_time(it->m_digest, digest))
        {
            return it->m_organisation;
        }
    }
    return nullptr;
}

} // namespace hibiscustide::core::directory
