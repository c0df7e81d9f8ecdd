#include <barleyfork/core/call_claim.hpp>

#include <barleyfork/base/digest.hpp>

namespace barleyfork {

claim_decision decide_claim(const claim_record& existing,
                            const std::string& request_digest,
                            const std::string& own_claim_id)
{
    if (existing.claim_id == own_claim_id)
        return claim_decision::send;
    if (existing.request_digest != request_digest)
        return claim_decision::refuse;
    if (existing.state == claim_state::answered)
        return claim_decision::replay;
    if (existing.state == claim_state::not_run)
        return claim_decision::take_over;
    return claim_decision::refuse;
}

errc claim_error(const claim_record& existing,
                 const std::string& request_digest,
                 bool has_holder_departed)
{
    if (existing.request_digest != request_digest)
        return errc::key_reused;
    if (existing.state == claim_state::running && !has_holder_departed)
        return errc::in_progress;
    return errc::outcome_unknown;
}

std::string claim_key(const organisation_id& owner,
                      const std::string& idempotency_key)
{
    return "claim/" + owner.value() + "/" + content_digest(idempotency_key);
}

} // namespace barleyfork
