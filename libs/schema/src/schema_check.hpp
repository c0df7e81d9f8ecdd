#ifndef BARLEYFORK_SCHEMA_SRC_SCHEMA_CHECK_HPP
#define BARLEYFORK_SCHEMA_SRC_SCHEMA_CHECK_HPP

#include <barleyfork/base/error.hpp>

#include <flatbuffers/reflection.h>
#include <string_view>

// toml++ asserts on some malformed input, such as an unterminated "[[", that
// it reports as an error if the assertion is disabled.
#define TOML_ASSERT(expr) static_assert(true)
#include <toml++/toml.h>

namespace barleyfork {

/// Checks a TOML table against one object of a reflected schema: unknown and
/// missing keys, types, and the limits in the fields' attributes. Fails with
/// `invalid_input`.
failure check_table(const toml::table& table,
                    const reflection::Schema& schema,
                    const reflection::Object& object,
                    std::string_view source);

} // namespace barleyfork

#endif
