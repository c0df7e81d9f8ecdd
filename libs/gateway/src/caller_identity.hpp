#ifndef BARLEYFORK_GATEWAY_SRC_CALLER_IDENTITY_HPP
#define BARLEYFORK_GATEWAY_SRC_CALLER_IDENTITY_HPP

#include "gateway_context.hpp"

#include <barleyfork/base/error.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace barleyfork {

/// What a request's key says about its caller.
struct caller_identity
{
    /// Set if the request must not run.
    std::optional<key_refusal> refusal;
    /// The organisation that holds the key; null if the request needs none or
    /// is refused. Part of the configuration in force.
    const gateway_organisation* organisation = nullptr;
};

/// Identifies the caller of a request by the configuration in force, which must
/// exist. `path` is without the query.
caller_identity identify_caller(const gateway_context& context,
                                const header_list& headers,
                                std::string_view host,
                                std::string_view path);

/// Removes what identifies the caller to this system, which no server may see.
void remove_identity_headers(header_list& headers, const call_codec& codec);

/// Logs and counts a refused request, without its key.
void record_refused_key(gateway_context& context,
                        const caller_identity& caller,
                        std::string_view address,
                        const request_metadata& request);

/// Returns the outcome that the caller of a refused request is told.
errc outcome_of(key_refusal refusal) noexcept;

/// Returns when the caller may return; nothing if its key would be refused
/// again.
std::optional<duration> retry_after(gateway_context& context,
                                    key_refusal refusal);

} // namespace barleyfork

#endif
