#include <barleyfork/core/room_policy.hpp>
#include <barleyfork/core/waiting_room.hpp>
#include <barleyfork/testing/property.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace barleyfork::testing {

namespace {

const server_group group{service_id("engine"), model_id("m")};

time_point at(std::int64_t ms)
{
    return time_point(duration(ms));
}

/// A kind of request, its pace and its needs.
struct load_kind
{
    std::uint32_t priority = 0;
    std::int64_t target_ms = 1000;
    std::int64_t leaves_ms = 4000;
    std::int64_t every_ms = 100;
    std::string organisation;
    std::int64_t service_ms = 50;
};

struct kind_result
{
    int asked = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int refused_after_waiting = 0;
    int refused_again = 0;
    std::int64_t max_wait_ms = 0;

    int served() const
    {
        return in_time + late;
    }
};

/// Plays arrivals of several kinds against servers that work off a queue at a
/// fixed pace, in steps of `step_ms`. The queue favours urgent requests.
class paced_servers
{
public:
    static constexpr std::int64_t step_ms = 10;

    explicit paced_servers(std::vector<load_kind> kinds)
        : kinds_(std::move(kinds)), results_(kinds_.size())
    {
        for (const auto& kind : kinds_)
            tightest_ = std::min(tightest_, kind.target_ms);
        for (const auto& kind : kinds_)
            longest_ = std::max(longest_, kind.target_ms);
    }

    /// The number of servers from `since_ms` on.
    void set_servers(std::int64_t since_ms, int count)
    {
        servers_[since_ms] = count;
    }

    std::vector<kind_result> play(std::int64_t until_ms)
    {
        for (std::int64_t now = 0; now < until_ms; now += step_ms) {
            serve(now);
            for (std::size_t i = 0; i < kinds_.size(); ++i)
                if (now % kinds_[i].every_ms == 0)
                    arrive(i, now, now, false);
            const auto back = returning_;
            returning_.clear();
            for (const auto& [when, call] : back) {
                if (when <= now)
                    arrive(call.kind, call.first_asked, now, true);
                else
                    returning_.emplace(when, call);
            }
            for (const auto ticket : room_.order(group, at(now)))
                offer(ticket, now);
        }
        return results_;
    }

private:
    struct call
    {
        std::size_t kind = 0;
        std::int64_t first_asked = 0;
        std::int64_t arrived = 0;
        bool returned = false;
    };

    int servers(std::int64_t now) const
    {
        return std::prev(servers_.upper_bound(now))->second;
    }

    room_request needs(const call& c) const
    {
        const auto& kind = kinds_[c.kind];
        room_request request;
        request.latency_target = duration(kind.target_ms);
        request.max_wait = duration(longest_);
        request.received_at = at(c.arrived);
        request.leaves_at = at(c.arrived + kind.leaves_ms);
        request.own_ms = static_cast<double>(kind.service_ms);
        request.is_returned = c.returned;
        return request;
    }

    waiting_request waiting(const call& c, time_point until) const
    {
        const auto& kind = kinds_[c.kind];
        waiting_request request;
        request.priority = kind.priority;
        request.organisation = organisation_id(kind.organisation);
        request.since = at(c.arrived);
        request.until = until;
        request.due_at = at(c.arrived + kind.target_ms);
        request.own_ms = static_cast<double>(kind.service_ms);
        request.is_returned = c.returned;
        return request;
    }

    double expected(std::uint32_t priority, std::int64_t own) const
    {
        double ahead = 0.0;
        for (const auto& [key, c] : queue_)
            if (key.first <= priority)
                ahead += static_cast<double>(kinds_[c.kind].service_ms);
        return ahead / std::max(servers(now_), 1) + static_cast<double>(own);
    }

    room_decision decide(const call& c) const
    {
        const auto& kind = kinds_[c.kind];
        const auto entry = waiting(c, at(c.arrived + kind.leaves_ms));
        room_state state;
        state.room_target = duration(tightest_);
        state.expected_ms = expected(kind.priority, kind.service_ms);
        state.ahead_ms =
            room_.work_ahead_ms(group, entry) / std::max(servers(now_), 1);
        state.is_over_share = room_.is_over_share(group.first, entry, at(now_));
        state.is_its_turn = room_.has_turn(group, entry);
        return decide_room(needs(c), state, at(now_));
    }

    void arrive(std::size_t kind,
                std::int64_t first_asked,
                std::int64_t now,
                bool returned)
    {
        now_ = now;
        const call c{kind, first_asked, now, returned};
        if (!returned)
            ++results_[kind].asked;
        const auto decision = decide(c);
        if (decision.outcome == room_outcome::send)
            send(c, decision.is_promoted);
        else if (decision.outcome == room_outcome::wait)
            calls_[room_.add(group, waiting(c, decision.until))] = {
                c, decision.until};
        else
            refuse(c, decision);
    }

    void offer(waiting_ticket ticket, std::int64_t now)
    {
        now_ = now;
        const auto [c, until] = calls_.at(ticket);
        const auto decision = decide(c);
        if (decision.outcome == room_outcome::wait && at(now) < until)
            return;
        room_.remove(ticket);
        calls_.erase(ticket);
        auto& wait = results_[c.kind].max_wait_ms;
        wait = std::max(wait, now - c.arrived);
        if (decision.outcome == room_outcome::send) {
            send(c, decision.is_promoted);
            return;
        }
        ++results_[c.kind].refused_after_waiting;
        refuse(c, decision);
    }

    void send(const call& c, bool promoted)
    {
        room_.on_sent(group, waiting(c, at(now_)), at(now_));
        queue_.emplace(
            std::pair(promoted ? 0 : kinds_[c.kind].priority, next_++), c);
    }

    void refuse(const call& c, const room_decision& decision)
    {
        auto& result = results_[c.kind];
        if (c.returned) {
            ++result.refused;
            ++result.refused_again;
            return;
        }
        const auto left = c.first_asked + kinds_[c.kind].leaves_ms - now_;
        const auto delay = room_.promise_return(
            group,
            decision.room_in,
            static_cast<double>(kinds_[c.kind].service_ms) /
                std::max(servers(now_), 1),
            duration(left / 3),
            0.5,
            at(now_));
        if (delay.count() <= 0 && left <= 0)
            ++result.refused;
        else
            returning_.emplace(now_ + std::max<std::int64_t>(delay.count(), 1),
                               c);
    }

    void serve(std::int64_t now)
    {
        now_ = now;
        budget_ms_ += step_ms * servers(now);
        while (!queue_.empty()) {
            const auto& c = queue_.begin()->second;
            const auto& kind = kinds_[c.kind];
            if (budget_ms_ < kind.service_ms)
                return;
            budget_ms_ -= kind.service_ms;
            auto& result = results_[c.kind];
            const auto took = now - c.first_asked;
            if (took <= kind.target_ms)
                ++result.in_time;
            else
                ++result.late;
            queue_.erase(queue_.begin());
        }
        budget_ms_ = std::min<std::int64_t>(budget_ms_, step_ms * servers(now));
    }

    std::vector<load_kind> kinds_;
    std::vector<kind_result> results_;
    std::map<std::int64_t, int> servers_{{-1, 1}};
    std::int64_t tightest_ = 1'000'000;
    std::int64_t longest_ = 0;
    std::int64_t now_ = 0;
    std::int64_t budget_ms_ = 0;
    std::uint64_t next_ = 0;
    waiting_room room_;
    std::map<waiting_ticket, std::pair<call, time_point>> calls_;
    std::multimap<std::int64_t, call> returning_;
    std::map<std::pair<std::uint32_t, std::uint64_t>, call> queue_;
};

double share(int part, int whole)
{
    return static_cast<double>(part) / static_cast<double>(std::max(whole, 1));
}

/// Who gets room when there is too little, replayed without a network.
class room_policy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(room_policy_test);
    CPPUNIT_TEST(all_are_sent_at_once_in_quiet_times);
    CPPUNIT_TEST(a_long_prompt_on_an_idle_server_is_sent);
    CPPUNIT_TEST(urgent_streams_keep_their_target_beside_a_peak_of_drafts);
    CPPUNIT_TEST(what_may_wait_is_served_beside_tight_targets);
    CPPUNIT_TEST(a_heavy_organisation_pays_for_itself_first);
    CPPUNIT_TEST(callers_who_return_when_told_find_room);
    CPPUNIT_TEST(nobody_waits_beyond_the_bound);
    CPPUNIT_TEST(a_flood_of_urgent_requests_does_not_starve_the_others);
    CPPUNIT_TEST(half_of_the_servers_vanish_while_requests_wait);
    CPPUNIT_TEST(what_is_hopeless_is_refused_at_arrival);
    CPPUNIT_TEST(what_nobody_would_hear_is_not_sent);
    CPPUNIT_TEST(promises_to_return_do_not_meet);
    CPPUNIT_TEST_SUITE_END();

public:
    void all_are_sent_at_once_in_quiet_times()
    {
        paced_servers servers(
            {{0, 1000, 4000, 200, "", 50}, {2, 15000, 20000, 200, "", 50}});
        for (const auto& kind : servers.play(20000)) {
            CPPUNIT_ASSERT_EQUAL(0, kind.refused);
            CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, kind.max_wait_ms);
            CPPUNIT_ASSERT_EQUAL(0, kind.late);
        }
    }

    void a_long_prompt_on_an_idle_server_is_sent()
    {
        room_request request;
        request.latency_target = duration{1000};
        request.leaves_at = at(4000);
        request.own_ms = 1800.0;
        room_state state;
        state.room_target = duration{1000};
        state.expected_ms = 1800.0;
        CPPUNIT_ASSERT(decide_room(request, state, at(0)).outcome ==
                       room_outcome::send);
    }

    /// A peak of cheap drafts, three times what the servers can do, beside
    /// urgent streams that need a third of them.
    void urgent_streams_keep_their_target_beside_a_peak_of_drafts()
    {
        paced_servers servers(
            {{0, 1000, 4000, 150, "", 50}, {1, 1200, 4800, 20, "", 50}});
        const auto played = servers.play(20000);
        CPPUNIT_ASSERT(share(played[0].in_time, played[0].asked) > 0.95);
        // The drafts have the rest: two thirds of the servers' time.
        CPPUNIT_ASSERT(share(played[1].served(), 20000 / 50) > 0.6);
    }

    /// Work that may wait 15 s beside work that may wait 0.8 s, in a spell of
    /// 5 s with twice what the servers can do.
    void what_may_wait_is_served_beside_tight_targets()
    {
        paced_servers servers(
            {{0, 800, 3200, 100, "", 50}, {2, 15000, 20000, 200, "", 50}});
        servers.set_servers(0, 2);
        servers.set_servers(5000, 0);
        servers.set_servers(6500, 2);
        const auto played = servers.play(30000);
        CPPUNIT_ASSERT_EQUAL(0, played[1].refused);
        CPPUNIT_ASSERT_EQUAL(0, played[1].refused_after_waiting);
    }

    /// One organisation of 16 sends five times its usual.
    void a_heavy_organisation_pays_for_itself_first()
    {
        std::vector<load_kind> kinds;
        for (int i = 0; i < 15; ++i)
            kinds.push_back(
                {1, 1000, 4000, 900 + 10 * i, "o" + std::to_string(i), 50});
        kinds.push_back({1, 1000, 4000, 160, "heavy", 50});
        const auto played = paced_servers(kinds).play(40000);
        const auto& heavy = played.back();
        for (int i = 0; i < 15; ++i) {
            const auto& other = played[static_cast<std::size_t>(i)];
            CPPUNIT_ASSERT(share(other.served(), other.asked) > 0.95);
            CPPUNIT_ASSERT(share(other.in_time, other.asked) >
                           share(heavy.in_time, heavy.asked));
        }
    }

    /// A quarter more than the servers can do: those told to return find room.
    void callers_who_return_when_told_find_room()
    {
        paced_servers servers({{1, 800, 6000, 30, "", 50}});
        servers.set_servers(0, 2);
        servers.set_servers(4000, 1);
        servers.set_servers(7000, 2);
        const auto played = servers.play(20000);
        CPPUNIT_ASSERT(share(played[0].refused_again, played[0].asked) < 0.1);
    }

    void nobody_waits_beyond_the_bound()
    {
        check_property("nobody waits beyond half of the caller's time", 20, [] {
            const auto draw = [](int low, int high) {
                return *rc::gen::inRange(low, high);
            };
            std::vector<load_kind> kinds;
            for (int i = draw(1, 5); i > 0; --i)
                kinds.push_back({static_cast<std::uint32_t>(draw(0, 4)),
                                 draw(5, 150) * 100,
                                 draw(200, 300) * 100,
                                 draw(8, 40) * 10,
                                 draw(0, 2) == 0 ? "" : "o",
                                 draw(2, 20) * 10});
            const auto played = paced_servers(kinds).play(30000);
            for (std::size_t i = 0; i < kinds.size(); ++i)
                RC_ASSERT(played[i].max_wait_ms <=
                          kinds[i].leaves_ms / 2 + paced_servers::step_ms);
        });
    }

    /// Urgent requests alone are twice what the servers can do.
    void a_flood_of_urgent_requests_does_not_starve_the_others()
    {
        paced_servers servers(
            {{0, 1000, 4000, 20, "", 50}, {3, 2500, 8000, 500, "", 50}});
        const auto played = servers.play(40000);
        CPPUNIT_ASSERT(share(played[0].served(), 40000 / 50) > 0.8);
        CPPUNIT_ASSERT(share(played[1].served(), played[1].asked) > 0.25);
    }

    /// Half of the servers vanish while requests wait: those that may wait
    /// still go, what has no hope is refused before its time is over.
    void half_of_the_servers_vanish_while_requests_wait()
    {
        paced_servers servers(
            {{0, 1000, 4000, 50, "", 50}, {2, 15000, 20000, 100, "", 50}});
        servers.set_servers(0, 4);
        servers.set_servers(3000, 2);
        const auto played = servers.play(25000);
        CPPUNIT_ASSERT(share(played[0].in_time, played[0].asked) > 0.95);
        CPPUNIT_ASSERT(share(played[1].served(), played[1].asked) > 0.95);
    }

    void what_is_hopeless_is_refused_at_arrival()
    {
        room_request request;
        request.latency_target = duration{1000};
        request.max_wait = duration{1000};
        request.leaves_at = at(4000);
        request.own_ms = 100.0;
        room_state state;
        state.room_target = duration{1000};
        state.expected_ms = 3500.0;
        const auto decision = decide_room(request, state, at(0));
        CPPUNIT_ASSERT(decision.outcome == room_outcome::refuse);
        CPPUNIT_ASSERT(decision.room_in == duration{2500});
        state.expected_ms = 1300.0;
        CPPUNIT_ASSERT(decide_room(request, state, at(0)).outcome ==
                       room_outcome::wait);
        // The same queue after most of its patience.
        CPPUNIT_ASSERT(decide_room(request, state, at(900)).outcome ==
                       room_outcome::refuse);
    }

    void what_nobody_would_hear_is_not_sent()
    {
        room_request request;
        request.latency_target = duration{15000};
        request.leaves_at = at(2000);
        room_state state;
        state.room_target = duration{15000};
        state.expected_ms = 2500.0;
        CPPUNIT_ASSERT(decide_room(request, state, at(0)).outcome !=
                       room_outcome::send);
    }

    void promises_to_return_do_not_meet()
    {
        waiting_room room;
        std::vector<duration> told;
        for (int i = 0; i < 10; ++i)
            told.push_back(room.promise_return(
                group, duration{300}, 50.0, duration{2000}, 0.5, at(0)));
        for (std::size_t i = 1; i < told.size(); ++i)
            CPPUNIT_ASSERT(told[i] >= told[i - 1] + duration{50});
        // Callers honour no more than the bound.
        CPPUNIT_ASSERT(
            room.promise_return(
                group, duration{3000}, 50.0, duration{2000}, 0.5, at(0)) <=
            duration{2000});
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(room_policy_test);

} // namespace barleyfork::testing
