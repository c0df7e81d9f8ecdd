#ifndef BARLEYFORK_CORE_SRC_PLACEMENT_TIMING_HPP
#define BARLEYFORK_CORE_SRC_PLACEMENT_TIMING_HPP

#include <barleyfork/base/time.hpp>

namespace barleyfork {

/// The first report is asked for this long after an order whose end is not
/// known.
constexpr duration first_probe{400};

} // namespace barleyfork

#endif
