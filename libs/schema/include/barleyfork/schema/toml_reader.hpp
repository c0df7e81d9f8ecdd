#ifndef BARLEYFORK_SCHEMA_TOML_READER_HPP
#define BARLEYFORK_SCHEMA_TOML_READER_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/schema/deployment_generated.h>
#include <barleyfork/schema/gateway_generated.h>
#include <barleyfork/schema/settings_generated.h>

#include <string>
#include <string_view>

namespace barleyfork {

/// Reads a daemon's settings from TOML text, checked against the schema.
///
/// Fails with `invalid_input`; the detail names the source, line, key, the
/// value given and what is allowed. `out` is unchanged on failure.
failure parse_settings(std::string_view toml,
                       std::string_view source,
                       schema::daemon_settings_record& out);

/// Reads a gateway's settings. Errors as for `parse_settings`.
failure parse_gateway_settings(std::string_view toml,
                               std::string_view source,
                               schema::gateway_settings_record& out);

/// Reads a deployment's declaration from TOML text, checked against the
/// schema. Errors as for `parse_settings`.
failure parse_deployment(std::string_view toml,
                         std::string_view source,
                         schema::deployment_record& out);

/// The canonical bytes of a declaration, as kept in the object store.
std::string encode_deployment(const schema::deployment_record& deployment);

/// Reads canonical bytes; fails with `protocol_error` where they are not
/// a verified buffer.
failure decode_deployment(std::string_view bytes,
                          schema::deployment_record& out);

/// Reads a whole file; fails with `invalid_input` and the file's name.
failure read_file(const std::string& path, std::string& out);

} // namespace barleyfork

#endif
