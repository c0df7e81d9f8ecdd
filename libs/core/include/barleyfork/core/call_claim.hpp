#ifndef BARLEYFORK_CORE_CALL_CLAIM_HPP
#define BARLEYFORK_CORE_CALL_CLAIM_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/base/strong_id.hpp>

#include <cstdint>
#include <string>

namespace barleyfork {

/// How far a claimed call has come.
enum class claim_state : std::uint8_t
{
    /// Claimed; it may have been sent.
    running,
    /// Answered; the record holds the answer.
    answered,
    /// It was sent and its end is not known; never sent again.
    unknown,
    /// Known not to have run; may be claimed anew.
    not_run,
};

/// The row of (organisation, idempotency key) in the table.
struct claim_record
{
    claim_state state = claim_state::running;
    /// Digest of method, path and body, so that a reused key is noticed.
    std::string request_digest;
    instance_id holder;
    /// Tells a claimant its own write from another's after a lost answer.
    std::string claim_id;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
};

/// What a daemon does with a call whose key is claimed already.
enum class claim_decision : std::uint8_t
{
    /// The row is this daemon's own claim: send the call.
    send,
    /// Give the caller the recorded answer.
    replay,
    /// Take over the row: the earlier try is known not to have run.
    take_over,
    /// Tell the caller what is known; `claim_error` says what.
    refuse,
};

/// Decides from the row that stands.
claim_decision decide_claim(const claim_record& standing,
                            const std::string& request_digest,
                            const std::string& own_claim_id);

/// The error for a refused call. `holder_gone` says whether the holder of a
/// running claim is gone for good by the platform's list.
errc claim_error(const claim_record& standing,
                 const std::string& request_digest,
                 bool holder_gone);

/// The row's key.
std::string claim_key(const organisation_id& owner,
                      const std::string& idempotency_key);

} // namespace barleyfork

#endif
