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
    claim_answer_lost,
    send,
    send_fails,
    run_answered,
    run_answer_lost,
    refuse_by_server,
    record,
    record_lost,
    daemon_dies,
};

constexpr std::size_t daemon_count = 2;
constexpr std::size_t key_count = 2;

/// Callers send calls that may not be repeated through two daemons, again and
/// again with the same keys. Each daemon handles one call at a time, in the
/// order of the daemon's own code: claim, send, record, answer.
class request_world
{
public:
    void run(request_action action, int first, int second)
    {
        const auto who = static_cast<std::size_t>(first) % daemon_count;
        auto& call = calls_[who];
        if (action == request_action::begin && !call)
            begin(who, static_cast<std::size_t>(second) % key_count);
        else if (call)
            act(action, *call);
        if (action == request_action::daemon_dies && call)
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

    void begin(std::size_t who, std::size_t key)
    {
        request_traits traits;
        traits.idempotent = false;
        traits.deadline = time_point(duration(1000));
        running_call call(traits);
        call.key = "key-" + std::to_string(key);
        call.claim.request_digest = call.key;
        call.claim.holder = instance_id("daemon-" + std::to_string(who));
        call.claim.claim_id = "claim-" + std::to_string(++names_);
        calls_[who] = std::move(call);
    }

    void act(request_action action, running_call& call)
    {
        switch (action) {
        case request_action::claim:
            claim(call, true);
            break;
        case request_action::claim_answer_lost:
            claim(call, false);
            break;
        case request_action::send:
            if (call.at == stage::ready)
                call.at = stage::sent;
            break;
        case request_action::send_fails:
            if (call.at == stage::ready)
                after(call, attempt_end::not_sent);
            break;
        case request_action::run_answered:
        case request_action::run_answer_lost:
            run_on_server(call, action == request_action::run_answered);
            break;
        case request_action::refuse_by_server:
            if (call.at == stage::sent)
                after(call, attempt_end::refused_by_server);
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
        auto& standing = table_[call.key];
        if (standing.claim_id.empty()) {
            standing = call.claim;
            // Without an answer the daemon gives the claim back later and
            // refuses now; the give-back is a write of its own.
            if (answered)
                call.at = stage::ready;
            else
                give_back(call);
            return;
        }
        settle(call, standing);
    }

    void settle(running_call& call, claim_record& standing)
    {
        const auto decision = decide_claim(
            standing, call.claim.request_digest, call.claim.claim_id);
        if (decision == claim_decision::send) {
            call.at = stage::ready;
        }
        else if (decision == claim_decision::take_over) {
            standing = call.claim;
            call.at = stage::ready;
        }
        else {
            if (decision == claim_decision::replay)
                check_answer(call.key, standing.body);
            call.finished = true;
        }
    }

    void give_back(running_call& call)
    {
        auto& standing = table_[call.key];
        if (standing.claim_id == call.claim.claim_id &&
            standing.state == claim_state::running)
            standing.state = claim_state::not_run;
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
              answered ? attempt_end::answered
                       : attempt_end::lost_before_answer);
    }

    void after(running_call& call, attempt_end end)
    {
        call.step = call.progress.after_attempt(
            end, false, true, time_point(duration(1)));
        call.at =
            call.step == next_step::retry ? stage::ready : stage::recording;
        // A refusal that says `not run` must be true.
        if (call.step == next_step::refuse_not_run)
            RC_ASSERT(!call.progress.may_have_run());
    }

    void record(running_call& call, bool reaches)
    {
        if (call.at != stage::recording)
            return;
        auto& standing = table_[call.key];
        const bool own = standing.claim_id == call.claim.claim_id;
        if (reaches && own) {
            standing.body = call.answer;
            standing.state =
                call.step == next_step::finish           ? claim_state::answered
                : call.step == next_step::refuse_not_run ? claim_state::not_run
                                                         : claim_state::unknown;
        }
        if (call.step == next_step::finish)
            check_answer(call.key, call.answer);
        call.finished = true;
    }

    /// Every caller of one key gets the one answer of the one run.
    void check_answer(const std::string& key, const std::string& answer)
    {
        RC_ASSERT(answer == key + "#1");
        ++answers_;
    }

    std::map<std::string, claim_record> table_;
    std::map<std::string, int> runs_;
    std::array<std::optional<running_call>, daemon_count> calls_;
    std::size_t answers_ = 0;
    int names_ = 0;
};

class request_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_property_test);
    CPPUNIT_TEST(runs_at_most_once_and_tells_the_truth);
    CPPUNIT_TEST(idempotent_request_is_tried_again);
    CPPUNIT_TEST(begun_answer_is_resumed_or_aborted);
    CPPUNIT_TEST_SUITE_END();

    using action = request_action;

    static constexpr int cases = 5000;
    static constexpr int longest = 120;
    static constexpr weighted_actions<action> actions{
        {8, action::begin},
        {10, action::claim},
        {1, action::claim_answer_lost},
        {10, action::send},
        {2, action::send_fails},
        {8, action::run_answered},
        {2, action::run_answer_lost},
        {2, action::refuse_by_server},
        {8, action::record},
        {2, action::record_lost},
        {1, action::daemon_dies}};

public:
    void runs_at_most_once_and_tells_the_truth()
    {
        std::size_t answers = 0;
        check_property("request", cases, [&answers] {
            const auto commands = *gen_commands(actions, longest);
            request_world world;
            for (const auto& step : commands)
                world.run(step.action, step.first, step.second);
            answers += world.answers();
        });
        CPPUNIT_ASSERT(answers > cases);
    }

    void idempotent_request_is_tried_again()
    {
        request_traits traits;
        traits.deadline = time_point(duration(1000));
        traits.max_tries = 3;
        request_progress progress(traits);
        const time_point now{duration(1)};
        const auto lost = attempt_end::lost_before_answer;
        CPPUNIT_ASSERT(progress.after_attempt(lost, false, true, now) ==
                       next_step::retry);
        CPPUNIT_ASSERT(progress.after_attempt(lost, false, true, now) ==
                       next_step::retry);
        CPPUNIT_ASSERT(progress.after_attempt(lost, false, true, now) ==
                       next_step::report_unknown);
    }

    void begun_answer_is_resumed_or_aborted()
    {
        request_traits traits;
        traits.deadline = time_point(duration(1000));
        traits.resumable = true;
        const time_point now{duration(1)};
        request_progress resumable(traits);
        const auto lost = attempt_end::lost_in_answer;
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
