#ifndef BARLEYFORK_BASE_DIGEST_HPP
#define BARLEYFORK_BASE_DIGEST_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace barleyfork {

/// A 64-bit non-cryptographic hash (XXH3) for placement and fingerprints.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// A 256-bit BLAKE2b digest in lower-case hexadecimal, 64 characters.
std::string content_digest(std::string_view bytes);

/// A keyed BLAKE2b tag of 32 bytes, for peer frames.
std::string authentication_tag(std::string_view secret, std::string_view bytes);

/// Compares two strings in time that does not depend on their contents.
bool equal_in_constant_time(std::string_view a, std::string_view b) noexcept;

/// Bytes as text that any JSON document can hold.
std::string encode_base64(std::string_view bytes);

/// The bytes of `text`; empty where it is not base64.
std::string decode_base64(std::string_view text);

/// A random identifier of 128 bits in hexadecimal, 32 characters.
std::string random_identifier();

} // namespace barleyfork

#endif
