#ifndef BARLEYFORK_CORE_ADMISSION_HPP
#define BARLEYFORK_CORE_ADMISSION_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/core/catalog.hpp>

namespace barleyfork {

/// Checks that a declaration fits, the transition from `current` included.
///
/// The floors of both declarations are packed together, since old replicas
/// stay until the new ones are ready; a model version that stands in both
/// counts once, each on the servers of its cell. `current` may be null. Packing
/// is first fit by decreasing size, so a very tight declaration may be refused
/// although it could fit. Fails with `does_not_fit`, naming the sums, the model
/// that finds no room and how much room would be enough.
failure check_admission(const catalog* current, const catalog& next);

} // namespace barleyfork

#endif
