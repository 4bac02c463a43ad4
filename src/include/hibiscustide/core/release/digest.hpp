/// \file
/// Computes the digests of release notes (published changes of the
/// configuration). A note identifies its predecessor by the predecessor's
/// digest.
#ifndef HIBISCUSTIDE_CORE_RELEASE_DIGEST_HPP
#define HIBISCUSTIDE_CORE_RELEASE_DIGEST_HPP

#include <string>
#include <string_view>

namespace hibiscustide::core::release
{

/// Returns the 128-bit XXH3 digest of the published text of a note, in
/// lower-case hexadecimal. The digest distinguishes notes from each other; it
/// is not cryptographic and gives no protection against forgery.
[[nodiscard]] std::string digest_of(std::string_view text);

} // namespace hibiscustide::core::release

#endif
