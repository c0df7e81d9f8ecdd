#ifndef BARLEYFORK_DAEMON_SRC_CATALOG_DIFFERENCE_HPP
#define BARLEYFORK_DAEMON_SRC_CATALOG_DIFFERENCE_HPP

#include <barleyfork/core/catalog.hpp>

#include <string>
#include <vector>

namespace barleyfork {

/// Returns the differences between two catalogs, one per line: `+` added, `-`
/// removed, `~` changed. `current` may be null.
std::vector<std::string> describe_differences(const catalog* current,
                                              const catalog& next);

} // namespace barleyfork

#endif
