#ifndef BARLEYFORK_CORE_CONFIGURATION_DIGEST_HPP
#define BARLEYFORK_CORE_CONFIGURATION_DIGEST_HPP

#include <barleyfork/core/configuration_state.hpp>
#include <barleyfork/schema/peer_generated.h>

namespace barleyfork {

/// Returns the part of a head that peer messages carry, which excludes the
/// operator and the write id.
schema::configuration_digest_record to_digest(const configuration_head& head);

/// Returns the head that a peer announced.
configuration_head to_head(const schema::configuration_digest_record& digest);

} // namespace barleyfork

#endif
