#ifndef BARLEYFORK_DAEMON_SRC_CATALOG_DIFFERENCE_HPP
#define BARLEYFORK_DAEMON_SRC_CATALOG_DIFFERENCE_HPP

#include <barleyfork/core/catalog.hpp>

#include <string>
#include <vector>

namespace barleyfork {

/// What differs between two catalogs, a line each: `+` added, `-` removed,
/// `~` changed. `current` may be null.
std::vector<std::string> difference(const catalog* current,
                                    const catalog& next);

} // namespace barleyfork

#endif
