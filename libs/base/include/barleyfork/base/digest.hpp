#ifndef BARLEYFORK_BASE_DIGEST_HPP
#define BARLEYFORK_BASE_DIGEST_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace barleyfork {

/// Returns a 64-bit non-cryptographic hash (XXH3), used for placement and
/// request fingerprints.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// Returns the 256-bit BLAKE2b digest of `bytes` as 64 lower-case hexadecimal
/// characters.
std::string content_digest(std::string_view bytes);

/// Returns a keyed BLAKE2b tag of 32 raw bytes, which authenticates a peer
/// frame.
std::string authentication_tag(std::string_view secret, std::string_view bytes);

/// Compares two strings in time that does not depend on their contents.
bool equal_in_constant_time(std::string_view a, std::string_view b) noexcept;

/// Encodes bytes as standard base64, for use in JSON.
std::string encode_base64(std::string_view bytes);

/// Decodes standard base64; returns an empty string if `text` is malformed.
std::string decode_base64(std::string_view text);

/// Returns a random 128-bit identifier as 32 hexadecimal characters.
std::string random_identifier();

} // namespace barleyfork

#endif
