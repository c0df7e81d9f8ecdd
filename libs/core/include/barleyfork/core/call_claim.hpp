#ifndef BARLEYFORK_CORE_CALL_CLAIM_HPP
#define BARLEYFORK_CORE_CALL_CLAIM_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/base/strong_id.hpp>

#include <cstdint>
#include <string>

namespace barleyfork {

/// Progress of a claimed call.
enum class claim_state : std::uint8_t
{
    /// Claimed; it may have been sent.
    running,
    /// Answered; the record contains the response.
    answered,
    /// The call was sent and its outcome is unknown; it is never sent again.
    unknown,
    /// The call is known not to have run; it may be claimed again.
    not_run,
};

/// The table row of an organisation and an idempotency key.
struct claim_record
{
    claim_state state = claim_state::running;
    /// Digest of method, path and body; detects reuse of a key for another
    /// call.
    std::string request_digest;
    instance_id holder;
    /// Lets a claimant recognise its own write after the response to that write
    /// was lost.
    std::string claim_id;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
};

/// The action of a daemon for a call whose key is already claimed.
enum class claim_decision : std::uint8_t
{
    /// The row is this daemon's own claim: send the call.
    send,
    /// Send the recorded response to the caller.
    replay,
    /// Take over the row: the claimed call is known not to have run.
    take_over,
    /// Send the error that `claim_error` returns to the caller.
    refuse,
};

/// Decides how to treat a call, given the existing row of its key.
claim_decision decide_claim(const claim_record& existing,
                            const std::string& request_digest,
                            const std::string& own_claim_id);

/// Returns the error for a refused call. `has_holder_departed` is true if the
/// platform's list shows that the holder of a running claim has departed for
/// good.
errc claim_error(const claim_record& existing,
                 const std::string& request_digest,
                 bool has_holder_departed);

/// Returns the table key of the row.
std::string claim_key(const organisation_id& owner,
                      const std::string& idempotency_key);

} // namespace barleyfork

#endif
