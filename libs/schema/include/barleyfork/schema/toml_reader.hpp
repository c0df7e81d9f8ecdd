#ifndef BARLEYFORK_SCHEMA_TOML_READER_HPP
#define BARLEYFORK_SCHEMA_TOML_READER_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/schema/deployment_generated.h>
#include <barleyfork/schema/gateway_generated.h>
#include <barleyfork/schema/settings_generated.h>

#include <string>
#include <string_view>

namespace barleyfork {

/// Parses a daemon's settings from TOML text and checks them against the
/// schema.
///
/// Fails with `invalid_input`; the detail names the source, the line, the key,
/// the given value and the allowed values. `out` is unchanged on failure.
failure parse_settings(std::string_view toml,
                       std::string_view source,
                       schema::daemon_settings_record& out);

/// Parses a gateway's settings. Fails as `parse_settings` does.
failure parse_gateway_settings(std::string_view toml,
                               std::string_view source,
                               schema::gateway_settings_record& out);

/// Parses a deployment's declaration from TOML text and checks it against the
/// schema. Fails as `parse_settings` does.
failure parse_deployment(std::string_view toml,
                         std::string_view source,
                         schema::deployment_record& out);

/// Encodes a declaration as its canonical bytes, as kept in the object store.
std::string encode_deployment(const schema::deployment_record& deployment);

/// Decodes canonical bytes; fails with `protocol_error` if they are malformed.
failure decode_deployment(std::string_view bytes,
                          schema::deployment_record& out);

/// Reads a complete file; fails with `invalid_input` and the file's name.
failure read_file(const std::string& path, std::string& out);

} // namespace barleyfork

#endif
