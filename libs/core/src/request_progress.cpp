#include <barleyfork/core/request_progress.hpp>

namespace barleyfork {

request_progress::request_progress(request_traits traits) : traits_(traits) {}

next_step request_progress::after_attempt(attempt_end end,
                                          bool delivered,
                                          bool budget,
                                          time_point now)
{
    ++tries_;
    if (end == attempt_end::answered)
        return next_step::finish;
    if (end == attempt_end::lost_before_answer ||
        end == attempt_end::lost_in_answer)
        may_have_run_ = true;
    const bool exhausted =
        tries_ >= traits_.max_tries || now >= traits_.deadline || !budget;
    if (exhausted)
        return give_up(delivered);
    if (delivered)
        return traits_.resumable && traits_.idempotent ? next_step::resume
                                                       : give_up(delivered);
    if (may_have_run_ && !traits_.idempotent)
        return give_up(delivered);
    return next_step::retry;
}

next_step request_progress::no_candidate() const noexcept
{
    return give_up(false);
}

next_step request_progress::give_up(bool delivered) const noexcept
{
    if (delivered)
        return next_step::abort_answer;
    return may_have_run_ ? next_step::report_unknown
                         : next_step::refuse_not_run;
}

} // namespace barleyfork
