#ifndef BARLEYFORK_CORE_SRC_PLACEMENT_TIMING_HPP
#define BARLEYFORK_CORE_SRC_PLACEMENT_TIMING_HPP

#include <barleyfork/base/time.hpp>

namespace barleyfork {

/// The delay of the first report request after an order whose outcome is
/// unknown.
constexpr duration first_probe_delay{400};

} // namespace barleyfork

#endif
