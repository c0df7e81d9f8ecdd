#ifndef BARLEYFORK_SCHEMA_DEPLOYMENT_DELTA_HPP
#define BARLEYFORK_SCHEMA_DEPLOYMENT_DELTA_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/schema/deployment_generated.h>

#include <string>
#include <string_view>

namespace barleyfork {

/// Sorts the entries by their keys, so that each declaration has one canonical
/// form.
void sort_entries(schema::deployment_record& deployment);

/// Encodes the difference between two sorted declarations.
std::string encode_delta(const schema::deployment_record& base,
                         std::string_view base_digest,
                         const schema::deployment_record& next);

/// Applies an encoded delta to `base`, which becomes the next declaration.
///
/// Fails with `protocol_error` if the bytes are malformed and with `conflict`
/// if they were encoded for another base. The caller must compare the digest
/// of the result.
failure apply_delta(schema::deployment_record& base,
                    std::string_view base_digest,
                    std::string_view bytes);

/// Returns the object-store name of the delta between two digests.
std::string delta_object_name(std::string_view base_digest,
                              std::string_view digest);

} // namespace barleyfork

#endif
