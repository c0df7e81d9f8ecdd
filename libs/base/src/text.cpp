#include <barleyfork/base/text.hpp>

#include <algorithm>
#include <cctype>

namespace barleyfork {

bool equal_ignoring_case(std::string_view a, std::string_view b) noexcept
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
            return std::tolower(static_cast<unsigned char>(x)) ==
                   std::tolower(static_cast<unsigned char>(y));
        });
}

} // namespace barleyfork
