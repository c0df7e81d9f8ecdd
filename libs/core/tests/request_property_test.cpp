#include <barleyfork/core/call_claim.hpp>
#include <barleyfork/core/request_progress.hpp>
#include <barleyfork/testing/property.hpp>

#include <array>
#include <map>
#include <optional>
#include <string>

namespace barleyfork::testing {

namespace {

enum class request_action : int
{
    begin,
    claim,
    claim_response_lost,
    send,
    send_fails,
    run_responded,
    run_response_lost,
    refuse_by_server,
    record,
    record_lost,
    daemon_crashes,
};

constexpr std::size_t daemon_count = 2;
constexpr std::size_t key_count = 2;

/// Callers repeatedly send calls that are not idempotent through two daemons,
/// with the same keys. Each daemon handles one call at a time, in the order of
/// the real daemon: claim, send, record, respond.
class request_world
{
public:
    void run(request_action action, int first, int second)
    {
        const auto daemon = static_cast<std::size_t>(first) % daemon_count;
        auto& call = calls_[daemon];
        if (action == request_action::begin && !call)
            begin(daemon, static_cast<std::size_t>(second) % key_count);
        else if (call)
            perform(action, *call);
        if (action == request_action::daemon_crashes && call)
            call.reset();
        else if (call && call->finished)
            call.reset();
        for (const auto& [key, count] : runs_)
            RC_ASSERT(count <= 1);
    }

    std::size_t answers() const noexcept
    {
        return answers_;
    }

private:
    enum class stage : int
    {
        claiming,
        ready,
        sent,
        recording,
    };

    struct running_call
    {
        explicit running_call(request_traits traits) : progress(traits) {}

        std::string key;
        claim_record claim;
        request_progress progress;
        stage at = stage::claiming;
        next_step step = next_step::retry;
        std::string answer;
        bool finished = false;
    };

    void begin(std::size_t daemon, std::size_t key)
    {
        request_traits traits;
        traits.idempotent = false;
        traits.deadline = time_point(duration(1000));
        running_call call(traits);
        call.key = "key-" + std::to_string(key);
        call.claim.request_digest = call.key;
        call.claim.holder = instance_id("daemon-" + std::to_string(daemon));
        call.claim.claim_id = "claim-" + std::to_string(++claim_count_);
        calls_[daemon] = std::move(call);
    }

    void perform(request_action action, running_call& call)
    {
        switch (action) {
        case request_action::claim:
            claim(call, true);
            break;
        case request_action::claim_response_lost:
            claim(call, false);
            break;
        case request_action::send:
            if (call.at == stage::ready)
                call.at = stage::sent;
            break;
        case request_action::send_fails:
            if (call.at == stage::ready)
                after(call, attempt_outcome::not_sent);
            break;
        case request_action::run_responded:
        case request_action::run_response_lost:
            run_on_server(call, action == request_action::run_responded);
            break;
        case request_action::refuse_by_server:
            if (call.at == stage::sent)
                after(call, attempt_outcome::refused_by_server);
            break;
        case request_action::record:
        case request_action::record_lost:
            record(call, action == request_action::record);
            break;
        default:
            break;
        }
    }

    void claim(running_call& call, bool answered)
    {
        if (call.at != stage::claiming)
            return;
        auto& existing = table_[call.key];
        if (existing.claim_id.empty()) {
            existing = call.claim;
            // A daemon that gets no response from the table rejects the call
            // and releases the claim later, by a separate write.
            if (answered)
                call.at = stage::ready;
            else
                release_claim(call);
            return;
        }
        apply_decision(call, existing);
    }

    void apply_decision(running_call& call, claim_record& existing)
    {
        const auto decision = decide_claim(
            existing, call.claim.request_digest, call.claim.claim_id);
        if (decision == claim_decision::send) {
            call.at = stage::ready;
        }
        else if (decision == claim_decision::take_over) {
            existing = call.claim;
            call.at = stage::ready;
        }
        else {
            if (decision == claim_decision::replay)
                check_answer(call.key, existing.body);
            call.finished = true;
        }
    }

    void release_claim(running_call& call)
    {
        auto& existing = table_[call.key];
        if (existing.claim_id == call.claim.claim_id &&
            existing.state == claim_state::running)
            existing.state = claim_state::not_run;
        call.finished = true;
    }

    void run_on_server(running_call& call, bool answered)
    {
        if (call.at != stage::sent)
            return;
        const auto count = ++runs_[call.key];
        if (answered)
            call.answer = call.key + "#" + std::to_string(count);
        after(call,
              answered ? attempt_outcome::answered
                       : attempt_outcome::lost_before_answer);
    }

    void after(running_call& call, attempt_outcome end)
    {
        call.step = call.progress.after_attempt(
            end, false, true, time_point(duration(1)));
        call.at =
            call.step == next_step::retry ? stage::ready : stage::recording;
        // A call may be reported as not run only if it did not run.
        if (call.step == next_step::refuse_not_run)
            RC_ASSERT(!call.progress.may_have_run());
    }

    void record(running_call& call, bool is_written)
    {
        if (call.at != stage::recording)
            return;
        auto& existing = table_[call.key];
        const bool is_own_claim = existing.claim_id == call.claim.claim_id;
        if (is_written && is_own_claim) {
            existing.body = call.answer;
            existing.state =
                call.step == next_step::finish           ? claim_state::answered
                : call.step == next_step::refuse_not_run ? claim_state::not_run
                                                         : claim_state::unknown;
        }
        if (call.step == next_step::finish)
            check_answer(call.key, call.answer);
        call.finished = true;
    }

    /// Every caller of a key receives the response of its only run.
    void check_answer(const std::string& key, const std::string& answer)
    {
        RC_ASSERT(answer == key + "#1");
        ++answers_;
    }

    std::map<std::string, claim_record> table_;
    std::map<std::string, int> runs_;
    std::array<std::optional<running_call>, daemon_count> calls_;
    std::size_t answers_ = 0;
    int claim_count_ = 0;
};

class request_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_property_test);
    CPPUNIT_TEST(runs_at_most_once_and_reports_the_outcome_accurately);
    CPPUNIT_TEST(idempotent_request_is_retried);
    CPPUNIT_TEST(partial_response_is_resumed_or_aborted);
    CPPUNIT_TEST_SUITE_END();

    using action = request_action;

    static constexpr int cases = 5000;
    static constexpr int max_actions = 120;
    static constexpr weighted_actions<action> actions{
        {8, action::begin},
        {10, action::claim},
        {1, action::claim_response_lost},
        {10, action::send},
        {2, action::send_fails},
        {8, action::run_responded},
        {2, action::run_response_lost},
        {2, action::refuse_by_server},
        {8, action::record},
        {2, action::record_lost},
        {1, action::daemon_crashes}};

public:
    void runs_at_most_once_and_reports_the_outcome_accurately()
    {
        std::size_t answers = 0;
        check_property("request", cases, [&answers] {
            const auto commands = *gen_commands(actions, max_actions);
            request_world world;
            for (const auto& step : commands)
                world.run(step.action, step.first, step.second);
            answers += world.answers();
        });
        CPPUNIT_ASSERT(answers > cases);
    }

    void idempotent_request_is_retried()
    {
        request_traits traits;
        traits.deadline = time_point(duration(1000));
        traits.max_tries = 3;
        request_progress progress(traits);
        const time_point now{duration(1)};
        const auto lost = attempt_outcome::lost_before_answer;
        CPPUNIT_ASSERT(progress.after_attempt(lost, false, true, now) ==
                       next_step::retry);
        CPPUNIT_ASSERT(progress.after_attempt(lost, false, true, now) ==
                       next_step::retry);
        CPPUNIT_ASSERT(progress.after_attempt(lost, false, true, now) ==
                       next_step::report_unknown);
    }

    void partial_response_is_resumed_or_aborted()
    {
        request_traits traits;
        traits.deadline = time_point(duration(1000));
        traits.resumable = true;
        const time_point now{duration(1)};
        request_progress resumable(traits);
        const auto lost = attempt_outcome::lost_during_answer;
        CPPUNIT_ASSERT(resumable.after_attempt(lost, true, true, now) ==
                       next_step::resume);
        traits.resumable = false;
        request_progress other(traits);
        CPPUNIT_ASSERT(other.after_attempt(lost, true, true, now) ==
                       next_step::abort_answer);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_property_test);

} // namespace

} // namespace barleyfork::testing
