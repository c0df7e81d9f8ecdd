#ifndef BARLEYFORK_BASE_TEXT_HPP
#define BARLEYFORK_BASE_TEXT_HPP

#include <string_view>

namespace barleyfork {

/// Compares two ASCII texts without regard to case.
bool equal_ignoring_case(std::string_view a, std::string_view b) noexcept;

} // namespace barleyfork

#endif
