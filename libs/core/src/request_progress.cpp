#include <barleyfork/core/request_progress.hpp>

namespace barleyfork {

request_progress::request_progress(request_traits traits) : traits_(traits) {}

next_step request_progress::after_attempt(attempt_outcome end,
                                          bool was_delivered,
                                          bool has_budget,
                                          time_point now)
{
    ++attempts_;
    if (end == attempt_outcome::answered)
        return next_step::finish;
    if (end == attempt_outcome::lost_before_answer ||
        end == attempt_outcome::lost_during_answer)
        may_have_run_ = true;
    const bool is_exhausted = attempts_ >= traits_.max_tries ||
                              now >= traits_.deadline || !has_budget;
    if (is_exhausted)
        return failing_step(was_delivered);
    if (was_delivered)
        return traits_.resumable && traits_.idempotent
                   ? next_step::resume
                   : failing_step(was_delivered);
    if (may_have_run_ && !traits_.idempotent)
        return failing_step(was_delivered);
    return next_step::retry;
}

next_step request_progress::step_without_candidate() const noexcept
{
    return failing_step(false);
}

next_step request_progress::failing_step(bool was_delivered) const noexcept
{
    if (was_delivered)
        return next_step::abort_answer;
    return may_have_run_ ? next_step::report_unknown
                         : next_step::refuse_not_run;
}

} // namespace barleyfork
