#ifndef BARLEYFORK_STORE_SRC_JSON_PRUNING_HPP
#define BARLEYFORK_STORE_SRC_JSON_PRUNING_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace barleyfork {

/// Returns a JSON text with every object and array below `max_depth` levels
/// replaced by null, so that one deeply nested part does not make the whole
/// text unreadable. The rest of the text is copied unchecked.
std::string prune_nesting(std::string_view text, std::size_t max_depth);

} // namespace barleyfork

#endif
