#include "gateway_call.hpp"

#include <barleyfork/base/log.hpp>

#include <algorithm>
#include <utility>

namespace barleyfork {

namespace {

/// A request waits for tokens of its organisation's quota for at most this time
/// and at most one third of its own.
constexpr duration max_quota_wait{250};
constexpr int quota_wait_divisor = 3;

} // namespace

/// Identifies the caller's organisation by the configuration in force now, and
/// removes the key from the request. Returns false if the request was rejected.
bool gateway_call::identify_caller()
{
    if (!configuration_ || !configuration_->requires_keys)
        return true;
    const auto caller = barleyfork::identify_caller(
        context_,
        request_.headers,
        find_header(request_.headers, "host").value_or(""),
        request_.path());
    remove_identity_headers(request_.headers, *context_.platform.codec);
    if (caller.refusal) {
        reject_for_key(caller);
        return false;
    }
    organisation_ = caller.organisation;
    if (organisation_ == nullptr)
        return true;
    request_.organisation = organisation_->id;
    if (organisation_->quota.is_readable)
        return true;
    // Nobody knows when a version comes whose quota can be read.
    reject(errc::limit_reached, std::nullopt);
    return false;
}

void gateway_call::reject_for_key(const caller_identity& caller)
{
    record_refused_key(context_, caller, request_.caller_address, facts_);
    reject(outcome_of(*caller.refusal), retry_after(context_, *caller.refusal));
}

/// Uses the tokens of the organisation's quota. Returns false if the request
/// waits for tokens or was rejected.
bool gateway_call::use_quota()
{
    if (organisation_ == nullptr || !organisation_->quota.is_limited())
        return true;
    const auto tokens = static_cast<double>(
        facts_.has_token_count ? facts_.total_tokens()
                               : organisation_->quota.plain_tokens);
    const auto patience = std::min(
        max_quota_wait, (deadline_ - received_at_) / quota_wait_divisor);
    const std::weak_ptr<gateway_call> self = weak_from_this();
    const auto decision = context_.quotas.decide(
        *organisation_, tokens, patience, [self](const auto& later) {
            if (const auto call = self.lock())
                call->on_quota_decision(later);
        });
    quota_ticket_ = decision.ticket;
    if (decision.result == quota_decision::outcome::waits) {
        return false;
    }
    if (decision.result == quota_decision::outcome::admitted) {
        charge_ = decision.charge;
        return true;
    }
    on_quota_decision(decision);
    return false;
}

void gateway_call::on_quota_decision(const quota_decision& decision)
{
    const auto self = shared_from_this();
    quota_ticket_ = 0;
    if (is_finished_)
        return;
    if (decision.result == quota_decision::outcome::admitted) {
        charge_ = decision.charge;
        run_admitted();
        return;
    }
    log_event(log_level::info, "quota_refused")
        .with("request", facts_.client_attempt_id)
        .with("organisation", organisation_->id.value())
        .with("retry_ms", decision.retry_after.count())
        .with("waited_ms", (steady_now() - received_at_).count());
    reject(errc::limit_reached, decision.retry_after);
}

/// Returns the tokens of a request that was not run, or stops waiting for them.
void gateway_call::release_quota()
{
    if (quota_ticket_ != 0)
        context_.quotas.cancel(*organisation_, std::exchange(quota_ticket_, 0));
    if (!charge_.empty() && uncertain_sends_ == 0)
        context_.quotas.put_back(*organisation_, charge_);
    charge_.clear();
}

} // namespace barleyfork
