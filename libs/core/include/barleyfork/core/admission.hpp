#ifndef BARLEYFORK_CORE_ADMISSION_HPP
#define BARLEYFORK_CORE_ADMISSION_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/core/catalog.hpp>

namespace barleyfork {

/// Checks that the minimum replicas of a declaration fit into the memory of the
/// backend servers, also during the transition from `current`.
///
/// Packs the minimum replicas of both declarations together, since old replicas
/// stay resident until the new ones are ready. A model version in both
/// declarations counts once. Each model is placed on the servers of its cell.
/// `current` may be null. Packing is first fit by decreasing size, so a very
/// tight declaration may be rejected although it could fit. Fails with
/// `does_not_fit`; the detail gives the required and available totals, the
/// first model that does not fit, its demand and the largest free memory of a
/// server.
failure check_admission(const catalog* current, const catalog& next);

} // namespace barleyfork

#endif
