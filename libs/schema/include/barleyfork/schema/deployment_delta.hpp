#ifndef BARLEYFORK_SCHEMA_DEPLOYMENT_DELTA_HPP
#define BARLEYFORK_SCHEMA_DEPLOYMENT_DELTA_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/schema/deployment_generated.h>

#include <string>
#include <string_view>

namespace barleyfork {

/// Puts entries into the order of their names, so that one declaration has
/// one canonical form.
void sort_entries(schema::deployment_record& deployment);

/// The bytes of what changes between two sorted declarations.
std::string encode_delta(const schema::deployment_record& base,
                         std::string_view base_digest,
                         const schema::deployment_record& next);

/// Carries a change out on `base`, which becomes the next declaration.
///
/// Fails with `protocol_error` where the bytes do not verify and with
/// `conflict` where they were made for another base. The caller compares the
/// digest of the result.
failure apply_delta(schema::deployment_record& base,
                    std::string_view base_digest,
                    std::string_view bytes);

/// The object's name for the change from one digest to another.
std::string delta_name(std::string_view base_digest, std::string_view digest);

} // namespace barleyfork

#endif
