#include <barleyfork/core/crash_quarantine.hpp>
#include <barleyfork/core/suspect_runs.hpp>
#include <barleyfork/testing/property.hpp>

#include <array>
#include <vector>

namespace barleyfork::testing {

namespace {

constexpr std::size_t threshold = 3;
constexpr duration memory{600000};
constexpr std::uint64_t cause = 1;

time_point at(std::int64_t ms)
{
    return time_point(duration(ms));
}

quarantine_limits limits()
{
    return {.memory = memory, .refusal_threshold = threshold};
}

quarantine_limits limits_with_settling()
{
    auto settled = limits();
    settled.settling_period = duration{500};
    return settled;
}

quarantine_limits limits_with_doubt()
{
    auto doubting = limits_with_settling();
    doubting.doubt = duration{2000};
    return doubting;
}

std::uint64_t draw(std::uint64_t below)
{
    return *rc::gen::inRange<std::uint64_t>(0, below);
}

/// Engines of 64 requests each. One request crashes each engine that runs it
/// and is sent again; the others are retried elsewhere until they get a
/// response.
class crashing_fleet
{
public:
    static constexpr std::uint64_t requests_on_engine = 64;

    crashing_fleet() : quarantine_(limits()) {}

    /// Crashes an engine that runs the cause and 63 other requests.
    /// `unanswered` of these had been in flight at the previous crash and got
    /// no response since.
    void crash(time_point now, std::uint64_t unanswered)
    {
        std::vector<std::uint64_t> on_engine{cause};
        for (std::uint64_t i = 0; i < unanswered && i < last_.size(); ++i)
            on_engine.push_back(last_[i]);
        for (std::uint64_t i = unanswered; i < last_.size(); ++i)
            quarantine_.on_answer(last_[i], now);
        while (on_engine.size() < requests_on_engine)
            on_engine.push_back(++next_);
        quarantine_.on_crash(on_engine, ++crashes_, now);
        last_.assign(on_engine.begin() + 1, on_engine.end());
    }

    /// Answers all requests of the last crash on other engines.
    void answer_all(time_point now)
    {
        for (const auto request : last_)
            quarantine_.on_answer(request, now);
    }

    std::uint64_t refused_wrongly(time_point now) const
    {
        std::uint64_t count = 0;
        for (auto request = cause + 1; request <= next_; ++request)
            count += quarantine_.refused(request, now) ? 1 : 0;
        return count;
    }

    crash_quarantine quarantine_;

private:
    std::uint64_t next_ = cause;
    std::uint64_t crashes_ = 0;
    std::vector<std::uint64_t> last_;
};

} // namespace

class crash_quarantine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_quarantine_test);
    CPPUNIT_TEST(innocent_requests_beside_the_cause_are_served);
    CPPUNIT_TEST(a_request_known_from_one_crash_does_not_hide_the_cause);
    CPPUNIT_TEST(an_answered_request_is_not_blamed_when_many_servers_crash);
    CPPUNIT_TEST(a_request_with_the_same_crashes_is_not_refused_for_the_cause);
    CPPUNIT_TEST(no_request_is_refused_before_peer_reports_arrive);
    CPPUNIT_TEST(a_request_one_crash_ahead_of_the_cause_is_served);
    CPPUNIT_TEST(a_request_two_crashes_ahead_of_peer_reports_is_served);
    CPPUNIT_TEST(inseparable_requests_are_refused_after_the_doubt);
    CPPUNIT_TEST(suspected_requests_are_separated);
    CPPUNIT_TEST(a_wrong_refusal_expires);
    CPPUNIT_TEST(a_crash_after_a_refusal_doubles_the_refusal);
    CPPUNIT_TEST(merged_refusals_end_at_the_same_time);
    CPPUNIT_TEST(entries_are_bounded);
    CPPUNIT_TEST(a_crash_under_the_old_id_refuses_no_innocent_request);
    CPPUNIT_TEST(a_request_with_five_crashes_beside_the_cause_is_served);
    CPPUNIT_TEST(a_later_suspect_of_one_crash_does_not_end_a_refusal);
    CPPUNIT_TEST(suspicions_are_those_below_a_refusal);
    CPPUNIT_TEST(suspicions_have_all_requests_where_asked);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Only the cause is refused: at the third crash, or, if another request
    /// was in flight at all three without a response, at the next crash that
    /// separates the two.
    void innocent_requests_beside_the_cause_are_served()
    {
        check_property("sixty_three", 200, [] {
            crashing_fleet fleet;
            std::array<std::uint64_t, threshold> left{};
            for (std::size_t i = 0; i < threshold; ++i) {
                left.at(i) = draw(crashing_fleet::requests_on_engine);
                fleet.crash(at(static_cast<std::int64_t>(i) * 300), left.at(i));
            }
            const auto now = at(1000);
            RC_ASSERT(fleet.refused_wrongly(now) == 0U);
            // The first `left[2]` requests of crash 2 that were also among the
            // first `left[1]` of crash 1 were in flight at all three crashes.
            const bool alone = std::min(left[1], left[2]) == 0;
            RC_ASSERT(fleet.quarantine_.refused(cause, now) == alone);
            fleet.crash(now, draw(crashing_fleet::requests_on_engine));
            fleet.crash(now, 0);
            RC_ASSERT(fleet.quarantine_.refused(cause, now));
            RC_ASSERT(fleet.refused_wrongly(now) == 0U);
        });
    }

    void a_request_known_from_one_crash_does_not_hide_the_cause()
    {
        crash_quarantine quarantine(limits());
        const std::vector<std::uint64_t> first{7};
        quarantine.on_crash(first, 100, at(0));
        for (std::int64_t crash = 1; crash <= 3; ++crash) {
            const std::vector<std::uint64_t> both{7, cause};
            quarantine.on_crash(
                both, 100 + static_cast<std::uint64_t>(crash), at(crash));
            quarantine.on_answer(7, at(crash));
        }
        CPPUNIT_ASSERT(quarantine.refused(cause, at(4)));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(4)));
    }

    /// Many servers crash at once while each runs the same popular request.
    void an_answered_request_is_not_blamed_when_many_servers_crash()
    {
        crash_quarantine quarantine(limits());
        quarantine.on_answer(5, at(0));
        const std::vector<std::uint64_t> popular{5};
        for (std::uint64_t server = 1; server <= 9; ++server)
            quarantine.on_crash(popular, server, at(100));
        CPPUNIT_ASSERT(!quarantine.refused(5, at(100)));
    }

    /// Both requests were in flight at the same three crashes; only the next
    /// crash, or a response, separates them.
    void a_request_with_the_same_crashes_is_not_refused_for_the_cause()
    {
        crash_quarantine quarantine(limits());
        const std::vector<std::uint64_t> both{7, cause};
        for (std::uint64_t server = 1; server <= threshold; ++server)
            quarantine.on_crash(both, server, at(0));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(0)));
        CPPUNIT_ASSERT(!quarantine.refused(cause, at(0)));
        const std::vector<std::uint64_t> only{cause};
        quarantine.on_crash(only, threshold + 1, at(1));
        CPPUNIT_ASSERT(quarantine.refused(cause, at(1)));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(1)));
        // The decision waits for at most two further shared crashes.
        crash_quarantine bounded(limits());
        for (std::uint64_t server = 1; server <= threshold + 2; ++server)
            bounded.on_crash(both, server, at(0));
        CPPUNIT_ASSERT(bounded.refused(cause, at(0)));
    }

    /// The daemon of the innocent request sees the third crash before the
    /// peer's report that the cause was in flight at that crash too.
    void no_request_is_refused_before_peer_reports_arrive()
    {
        crash_quarantine quarantine(limits_with_settling());
        const std::vector<std::uint64_t> both{7, cause};
        quarantine.on_crash(both, 1, at(0));
        quarantine.on_crash(both, 2, at(300));
        const std::vector<std::uint64_t> own{7};
        quarantine.on_crash(own, 3, at(600));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(700)));
        quarantine.merge({cause, 3}, at(800));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(5000)));
        quarantine.merge({cause, 4}, at(1200));
        CPPUNIT_ASSERT(!quarantine.refused(cause, at(1699)));
        // Further crashes do not delay the refusal.
        quarantine.merge({cause, 5}, at(1600));
        CPPUNIT_ASSERT(quarantine.refused(cause, at(1700)));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(1700)));
    }

    /// The daemon of the innocent request sees a further crash before the
    /// report that the cause was in flight at one too.
    void a_request_one_crash_ahead_of_the_cause_is_served()
    {
        crash_quarantine quarantine(limits_with_settling());
        const std::vector<std::uint64_t> both{7, cause};
        for (std::uint64_t server = 1; server <= threshold; ++server)
            quarantine.on_crash(both, server, at(0));
        const std::vector<std::uint64_t> innocent{7};
        quarantine.on_crash(innocent, 4, at(600));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(600)));
        quarantine.merge({cause, 5}, at(900));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(1100)));
        quarantine.merge({cause, 6}, at(1200));
        CPPUNIT_ASSERT(quarantine.refused(cause, at(1700)));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(1700)));
    }

    /// Two crashes in a row arrive before the reports that the cause was in
    /// flight at them too.
    void a_request_two_crashes_ahead_of_peer_reports_is_served()
    {
        crash_quarantine quarantine(limits_with_doubt());
        const std::vector<std::uint64_t> both{7, cause};
        for (std::uint64_t server = 1; server <= threshold; ++server)
            quarantine.on_crash(both, server, at(0));
        const std::vector<std::uint64_t> innocent{7};
        quarantine.on_crash(innocent, 4, at(800));
        quarantine.on_crash(innocent, 5, at(950));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(950)));
        quarantine.merge({cause, 4}, at(1100));
        quarantine.merge({cause, 5}, at(1250));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(1450)));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(2499)));
    }

    /// If no crash separates two requests, both are refused after the doubt.
    void inseparable_requests_are_refused_after_the_doubt()
    {
        crash_quarantine quarantine(limits_with_doubt());
        const std::vector<std::uint64_t> both{7, cause};
        for (std::uint64_t server = 1; server <= threshold + 2; ++server)
            quarantine.on_crash(both, server, at(0));
        CPPUNIT_ASSERT(!quarantine.refused(cause, at(2499)));
        CPPUNIT_ASSERT(quarantine.refused(cause, at(2500)));
        // A request with more crashes than any other is refused without doubt.
        const std::vector<std::uint64_t> only{cause};
        crash_quarantine leads(limits_with_doubt());
        for (std::uint64_t server = 1; server <= threshold; ++server)
            leads.on_crash(only, server, at(0));
        CPPUNIT_ASSERT(leads.refused(cause, at(500)));
    }

    /// A request is suspected from one crash below the threshold until it gets
    /// a response.
    void suspected_requests_are_separated()
    {
        crash_quarantine quarantine(limits_with_settling());
        const std::vector<std::uint64_t> only{cause};
        quarantine.on_crash(only, 1, at(0));
        CPPUNIT_ASSERT(!quarantine.suspected(cause, at(0)));
        quarantine.on_crash(only, 2, at(10));
        CPPUNIT_ASSERT(quarantine.suspected(cause, at(10)));
        quarantine.on_answer(cause, at(20));
        CPPUNIT_ASSERT(!quarantine.suspected(cause, at(20)));
        suspect_runs runs;
        runs.begin(cause, server_id("a"));
        CPPUNIT_ASSERT(runs.runs(cause) &&
                       runs.is_server_occupied(server_id("a")));
        CPPUNIT_ASSERT(!runs.runs(7) &&
                       !runs.is_server_occupied(server_id("b")));
        runs.end(cause);
        CPPUNIT_ASSERT(!runs.runs(cause) &&
                       !runs.is_server_occupied(server_id("a")));
    }

    void a_wrong_refusal_expires()
    {
        crash_quarantine quarantine(limits());
        const std::vector<std::uint64_t> only{5};
        for (std::uint64_t server = 1; server <= threshold; ++server)
            quarantine.on_crash(only, server, at(0));
        CPPUNIT_ASSERT(quarantine.refused(5, at(0)));
        CPPUNIT_ASSERT(quarantine.remaining_refusal(5, at(1000)) ==
                       memory - duration(1000));
        CPPUNIT_ASSERT(!quarantine.refused(5, at(0) + memory));
        quarantine.on_answer(5, at(0) + memory);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine.crashes(5));
    }

    void a_crash_after_a_refusal_doubles_the_refusal()
    {
        crash_quarantine quarantine(limits());
        const std::vector<std::uint64_t> only{cause};
        for (std::uint64_t server = 1; server <= threshold; ++server)
            quarantine.on_crash(only, server, at(0));
        const auto again = at(0) + memory;
        quarantine.expire(again);
        quarantine.on_crash(only, threshold + 1, again);
        CPPUNIT_ASSERT(
            quarantine.refused(cause, again + 2 * memory - duration(1)));
        CPPUNIT_ASSERT(!quarantine.refused(cause, again + 2 * memory));
    }

    void merged_refusals_end_at_the_same_time()
    {
        crash_quarantine sender(limits());
        const std::vector<std::uint64_t> only{cause};
        for (std::uint64_t server = 1; server <= threshold; ++server)
            sender.on_crash(only, server, at(0));
        crash_quarantine receiver(limits());
        const auto now = at(5000);
        CPPUNIT_ASSERT(sender.digest(now) != receiver.digest(now));
        for (const auto& reported : sender.refusals(now))
            CPPUNIT_ASSERT(receiver.merge(reported.blame, now - reported.age));
        CPPUNIT_ASSERT(receiver.refused(cause, now));
        CPPUNIT_ASSERT_EQUAL(sender.digest(now), receiver.digest(now));
        CPPUNIT_ASSERT(sender.remaining_refusal(cause, now) ==
                       receiver.remaining_refusal(cause, now));
    }

    void entries_are_bounded()
    {
        crash_quarantine quarantine(limits());
        const std::vector<std::uint64_t> only{cause};
        for (std::uint64_t server = 1; server <= threshold; ++server)
            quarantine.on_crash(only, server, at(0));
        for (std::uint64_t i = 0; i < 2 * crash_quarantine::max_fingerprints;
             ++i) {
            const std::vector<std::uint64_t> other{1000 + i};
            quarantine.on_crash(
                other, 1000 + i, at(static_cast<std::int64_t>(i)));
            quarantine.on_answer(500000 + i, at(static_cast<std::int64_t>(i)));
        }
        CPPUNIT_ASSERT(quarantine.refused(cause, at(20000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine.crashes(1000));
    }

    /// The cause was in flight at the third crash too, but its daemon knew the
    /// server by the id of an exited process and reported another crash id.
    void a_crash_under_the_old_id_refuses_no_innocent_request()
    {
        crash_quarantine quarantine(limits());
        const std::vector<std::uint64_t> both{7, cause};
        const std::vector<std::uint64_t> innocent{7};
        const std::vector<std::uint64_t> only{cause};
        quarantine.on_crash(both, 1, at(0));
        quarantine.on_crash(both, 2, at(100));
        quarantine.on_crash(innocent, 3, at(200));
        quarantine.on_crash(only, 4, at(300));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(300)));
        quarantine.on_crash(only, 5, at(400));
        CPPUNIT_ASSERT(quarantine.refused(cause, at(400)));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(400)));
    }

    /// The report that the cause was in flight at a further crash arrives late.
    void a_request_with_five_crashes_beside_the_cause_is_served()
    {
        crash_quarantine quarantine(limits_with_settling());
        const std::vector<std::uint64_t> both{7, cause};
        for (std::uint64_t server = 1; server <= threshold + 2; ++server)
            quarantine.on_crash(both, server, at(1000));
        quarantine.merge({cause, threshold + 3}, at(1400));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(1400)));
        CPPUNIT_ASSERT(!quarantine.refused(7, at(1600)));
        CPPUNIT_ASSERT(quarantine.refused(cause, at(1600)));
        // A crash without the cause is attributed to this request alone.
        const std::vector<std::uint64_t> own{7};
        quarantine.on_crash(own, threshold + 4, at(2000));
        CPPUNIT_ASSERT(quarantine.refused(7, at(2000)));
    }

    /// Another request was in flight at one of the three crashes, and at two
    /// further ones long after the refusal.
    void a_later_suspect_of_one_crash_does_not_end_a_refusal()
    {
        crash_quarantine quarantine(limits_with_doubt());
        const std::vector<std::uint64_t> only{cause};
        const std::vector<std::uint64_t> other{7};
        for (std::uint64_t server = 1; server <= threshold; ++server)
            quarantine.on_crash(only, server, at(0));
        quarantine.on_crash(other, threshold, at(0));
        CPPUNIT_ASSERT(quarantine.refused(cause, at(9000)));
        quarantine.on_crash(other, 10, at(9000));
        quarantine.on_crash(other, 11, at(9100));
        CPPUNIT_ASSERT(quarantine.refused(cause, at(12000)));
        CPPUNIT_ASSERT(quarantine.refused(cause, at(0) + memory - duration(1)));
    }

    /// One crash below the threshold, neither refused, answered nor expired;
    /// each with all of its crashes.
    void suspicions_are_those_below_a_refusal()
    {
        crash_quarantine quarantine(limits());
        const std::vector<std::uint64_t> expired{5};
        const std::vector<std::uint64_t> once{6};
        const std::vector<std::uint64_t> answered{8};
        const std::vector<std::uint64_t> twice{7};
        const std::vector<std::uint64_t> refused{cause};
        quarantine.on_crash(expired, 1, at(0));
        const auto later = at(0) + limits().memory;
        quarantine.on_crash(once, 2, later);
        for (const std::uint64_t crash : {20U, 21U})
            quarantine.on_crash(answered, crash, later);
        quarantine.on_answer(8, later);
        for (std::uint64_t crash = 3; crash < 3 + threshold; ++crash)
            quarantine.on_crash(refused, crash, later);
        for (const std::uint64_t crash : {10U, 11U})
            quarantine.on_crash(twice, crash, later);
        const auto near = suspicion_scope::near_refusal;
        const auto all = quarantine.suspicions(near, later + duration{40}, 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, all.size());
        CPPUNIT_ASSERT((all[0].blame == crash_blame{7, 10}));
        CPPUNIT_ASSERT((all[1].blame == crash_blame{7, 11}));
        CPPUNIT_ASSERT(all[0].age == duration{40});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             quarantine.suspicions(near, later, 2).size());
        CPPUNIT_ASSERT(quarantine.suspicions(near, later, 1).empty());
    }

    /// Requests from their first crash on, parts of prompts as before.
    void suspicions_have_all_requests_where_asked()
    {
        crash_quarantine quarantine(limits());
        const std::vector<std::uint64_t> once{6, make_part_suspect(6)};
        const std::vector<std::uint64_t> twice{7, make_part_suspect(7)};
        quarantine.on_crash(once, 2, at(0));
        for (const std::uint64_t crash : {10U, 11U})
            quarantine.on_crash(twice, crash, at(0));
        const auto all = suspicion_scope::all_requests;
        const auto found = quarantine.suspicions(all, at(0), 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, found.size());
        CPPUNIT_ASSERT((found.back().blame == crash_blame{6, 2}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                             quarantine.suspicions(all, at(0), 4).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_quarantine_test);

} // namespace barleyfork::testing
