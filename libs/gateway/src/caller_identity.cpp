#include "caller_identity.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/base/log.hpp>
#include <barleyfork/base/text.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

constexpr std::string_view key_header = "authorization";

/// Returns the digest of the key in a request; empty if there is no key, or
/// more than one header that may contain it.
std::string digest_of_key(const header_list& headers)
{
    const auto is_key_header = [](const auto& header) {
        return equal_ignoring_case(header.first, key_header);
    };
    if (std::count_if(headers.begin(), headers.end(), is_key_header) != 1)
        return {};
    const auto key = parse_bearer_key(*find_header(headers, key_header));
    return key ? content_digest(*key) : std::string();
}

} // namespace

caller_identity identify_caller(const gateway_context& context,
                                const header_list& headers,
                                std::string_view host,
                                std::string_view path)
{
    const auto& configuration = *context.configuration;
    const auto digest = digest_of_key(headers);
    const auto decision = decide_on_key(configuration,
                                        context.keys,
                                        match_route(configuration, host, path),
                                        digest,
                                        context.confirmed_age(),
                                        context.bounds_of_keys());
    switch (decision.verdict) {
    case key_verdict::unknown:
        return {digest.empty() ? key_refusal::missing : key_refusal::unknown,
                nullptr};
    case key_verdict::unconfirmed:
        return {key_refusal::unconfirmed, nullptr};
    case key_verdict::not_needed:
    case key_verdict::accepted:
        break;
    }
    return {std::nullopt, decision.organisation};
}

void remove_identity_headers(header_list& headers, const call_codec& codec)
{
    std::erase_if(headers, [&codec](const auto& header) {
        return equal_ignoring_case(header.first, key_header) ||
               codec.names_organisation(header.first);
    });
}

void record_refused_key(gateway_context& context,
                        const caller_identity& caller,
                        std::string_view address,
                        const request_metadata& request)
{
    const auto age = context.confirmed_age();
    context.measures.count_refused_key(*caller.refusal);
    log_event(log_level::warn, "request_unauthorized")
        .with("request", request.client_attempt_id)
        .with("caller", address)
        .with("reason", key_refusal_name(*caller.refusal))
        .with("version",
              static_cast<std::int64_t>(context.configuration->version))
        .with("age_ms", age ? age->count() : -1);
}

errc outcome_of(key_refusal refusal) noexcept
{
    return refusal == key_refusal::unconfirmed ? errc::store_unavailable
                                               : errc::unauthorized;
}

std::optional<duration> retry_after(gateway_context& context,
                                    key_refusal refusal)
{
    if (refusal != key_refusal::unconfirmed)
        return std::nullopt;
    return context.draw_retry_delay();
}

} // namespace barleyfork
