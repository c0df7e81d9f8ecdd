#ifndef BARLEYFORK_BASE_TEXT_HPP
#define BARLEYFORK_BASE_TEXT_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace barleyfork {

/// Compares two ASCII strings, ignoring case.
bool equal_ignoring_case(std::string_view a, std::string_view b) noexcept;

/// Formats a number as lower-case hexadecimal without a prefix.
std::string to_hexadecimal(std::uint64_t number);

} // namespace barleyfork

#endif
