// The part of gateway_call that knows by what its request may crash servers.

#include "gateway_call.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/base/log.hpp>
#include <barleyfork/base/text.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

constexpr std::size_t max_logged_parts = 6;

} // namespace

/// Prompts are shared within an organisation only, so a part is known together
/// with its caller.
crash_suspects gateway_call::make_suspects() const
{
    crash_suspects found;
    found.request = make_request_suspect(request_.fingerprint());
    const auto caller = request_.caller_hash();
    for (const auto& id : facts_.shared_prompt_parts)
        found.parts.push_back(make_part_suspect(hash64(id, caller)));
    return found;
}

/// Rejects a request that is quarantined because it crashes the servers that
/// run it. Returns true if the request was rejected.
bool gateway_call::reject_if_quarantined(time_point now)
{
    const auto& quarantine = context_.quarantine;
    const auto cause = quarantine.refusal_cause(suspects_, now);
    if (!cause)
        return false;
    const auto left = quarantine.remaining_refusal(*cause, now);
    log_event(log_level::warn, "request_quarantined")
        .with("request", facts_.client_attempt_id)
        .with("fingerprint", fingerprint_text())
        .with("cause", is_prompt_part(*cause) ? "prompt_part" : "request")
        .with("cause_fingerprint", to_hexadecimal(*cause))
        .with("crashes", static_cast<std::int64_t>(quarantine.crashes(*cause)))
        .with("for_ms", left.count());
    reject(errc::quarantined, left);
    return true;
}

bool gateway_call::is_suspected(time_point now) const
{
    return context_.quarantine.suspected(suspects_, now);
}

std::string gateway_call::fingerprint_text() const
{
    return to_hexadecimal(suspects_.request);
}

/// Returns the first parts of the prompt for the log, with commas between.
std::string gateway_call::prompt_parts_text() const
{
    std::string text;
    const auto count = std::min(suspects_.parts.size(), max_logged_parts);
    for (std::size_t i = 0; i < count; ++i) {
        if (i > 0)
            text += ',';
        text += to_hexadecimal(suspects_.parts[i]);
    }
    return text;
}

} // namespace barleyfork
