#ifndef BARLEYFORK_CORE_CONFIGURATION_DIGEST_HPP
#define BARLEYFORK_CORE_CONFIGURATION_DIGEST_HPP

#include <barleyfork/core/configuration_state.hpp>
#include <barleyfork/schema/peer_generated.h>

namespace barleyfork {

/// What peer messages carry of a head; operator and write id stay out.
schema::configuration_digest_record to_digest(const configuration_head& head);

/// A head from what a peer said.
configuration_head to_head(const schema::configuration_digest_record& digest);

} // namespace barleyfork

#endif
