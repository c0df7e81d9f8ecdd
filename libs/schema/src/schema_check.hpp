#ifndef BARLEYFORK_SCHEMA_SRC_SCHEMA_CHECK_HPP
#define BARLEYFORK_SCHEMA_SRC_SCHEMA_CHECK_HPP

#include <barleyfork/base/error.hpp>

#include <flatbuffers/reflection.h>
#include <string_view>

// The library asserts on some malformed texts, such as an unfinished "[[",
// that it also reports as errors when it goes on.
#define TOML_ASSERT(expr) static_assert(true)
#include <toml++/toml.h>

namespace barleyfork {

/// Checks a TOML table against one object of a reflected schema: unknown and
/// missing keys, types, and the ranges in the fields' attributes.
failure check_table(const toml::table& table,
                    const reflection::Schema& schema,
                    const reflection::Object& object,
                    std::string_view source);

} // namespace barleyfork

#endif
