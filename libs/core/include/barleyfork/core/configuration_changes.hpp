#ifndef BARLEYFORK_CORE_CONFIGURATION_CHANGES_HPP
#define BARLEYFORK_CORE_CONFIGURATION_CHANGES_HPP

#include <barleyfork/core/gateway_configuration.hpp>

#include <string>
#include <vector>

namespace barleyfork {

/// Returns the differences between the version in force and the next one, one
/// per line: `+` added, `-` removed, `~` changed. Keys are counted, not shown.
std::vector<std::string> describe_changes(const gateway_configuration& in_force,
                                          const gateway_configuration& next);

} // namespace barleyfork

#endif
