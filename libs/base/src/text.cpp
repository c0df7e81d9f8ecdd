#include <barleyfork/base/text.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace barleyfork {

bool equal_ignoring_case(std::string_view a, std::string_view b) noexcept
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
            return std::tolower(static_cast<unsigned char>(x)) ==
                   std::tolower(static_cast<unsigned char>(y));
        });
}

std::string to_hexadecimal(std::uint64_t number)
{
    constexpr int base = 16;
    std::array<char, 16> digits{};
    const auto end =
        std::to_chars(digits.begin(), digits.end(), number, base).ptr;
    return {digits.data(), end};
}

} // namespace barleyfork
