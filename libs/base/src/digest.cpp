#include <barleyfork/base/digest.hpp>

#include <array>
#include <sodium.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace barleyfork {

namespace {

constexpr std::size_t digest_bytes = 32;
constexpr std::size_t identifier_bytes = 16;

const unsigned char* as_bytes(std::string_view text) noexcept
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

template <std::size_t Size>
std::string to_hex(const std::array<unsigned char, Size>& bytes)
{
    std::array<char, Size * 2 + 1> text{};
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    return {text.data(), Size * 2};
}

std::array<unsigned char, digest_bytes> keyed_digest(std::string_view key,
                                                     std::string_view bytes)
{
    std::array<unsigned char, digest_bytes> out{};
    crypto_generichash(out.data(),
                       out.size(),
                       as_bytes(bytes),
                       bytes.size(),
                       key.empty() ? nullptr : as_bytes(key),
                       key.size());
    return out;
}

} // namespace

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string content_digest(std::string_view bytes)
{
    return to_hex(keyed_digest({}, bytes));
}

std::string authentication_tag(std::string_view secret, std::string_view bytes)
{
    const auto key = keyed_digest({}, secret);
    const std::string_view key_view(reinterpret_cast<const char*>(key.data()),
                                    key.size());
    const auto tag = keyed_digest(key_view, bytes);
    return {reinterpret_cast<const char*>(tag.data()), tag.size()};
}

bool equal_in_constant_time(std::string_view a, std::string_view b) noexcept
{
    if (a.size() != b.size())
        return false;
    return sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string encode_base64(std::string_view bytes)
{
    constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
    std::string text(sodium_base64_encoded_len(bytes.size(), variant), '\0');
    sodium_bin2base64(
        text.data(), text.size(), as_bytes(bytes), bytes.size(), variant);
    text.pop_back();
    return text;
}

std::string decode_base64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t size = 0;
    if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()),
                          bytes.size(),
                          text.data(),
                          text.size(),
                          nullptr,
                          &size,
                          nullptr,
                          sodium_base64_VARIANT_ORIGINAL) != 0)
        return {};
    bytes.resize(size);
    return bytes;
}

std::string random_identifier()
{
    std::array<unsigned char, identifier_bytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    return to_hex(bytes);
}

} // namespace barleyfork
