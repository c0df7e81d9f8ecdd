/// Daemons that share the limit of a server without asking each other, against
/// the users' bound on all of them together.

#include <barleyfork/core/request_limits.hpp>
#include <barleyfork/testing/property.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace barleyfork::testing {

namespace {

constexpr time_point start{duration(100000)};
constexpr duration tick{5};
/// The users' bound.
constexpr duration window{4000};
constexpr double factor = 1.5;
constexpr double allowance = 5.0;

const server_process process{server_id("s"), 5};

/// Daemons that each know all others, or all but one, and ask for the server
/// whenever they may, in bursts, or always.
class sharing_daemons
{
public:
    sharing_daemons(std::size_t count,
                    double limit,
                    bool knows_all,
                    unsigned seed)
        : limit_(limit), random_(seed)
    {
        std::vector<instance_id> ids;
        for (std::size_t i = 0; i < count; ++i)
            ids.emplace_back("daemon-" + std::to_string(i));
        for (std::size_t i = 0; i < count; ++i) {
            auto listed = ids;
            const auto missing = random_() % count;
            if (!knows_all)
                listed.erase(listed.begin() +
                             static_cast<std::ptrdiff_t>(missing));
            daemons_.emplace_back(ids[i]);
            daemons_.back().set_daemons(std::move(listed), true);
        }
    }

    /// The limit becomes known to each daemon within a second. `busy` is the
    /// fraction of time in which all daemons have requests.
    void run(duration length, double busy)
    {
        for (auto& daemon : daemons_)
            daemon.observe(
                {process, limit_, start + duration(random_() % 1000)},
                draw(),
                start + duration(random_() % 1000));
        bool asks = true;
        for (auto now = start; now < start + length; now += tick) {
            constexpr double change_rate = 0.0025;
            if (draw() < change_rate)
                asks = draw() < busy;
            if (asks)
                send_all(now);
        }
    }

    std::size_t most_in_window() const
    {
        std::size_t most = 0;
        std::deque<time_point> recent;
        for (const auto sent : sent_) {
            recent.push_back(sent);
            while (recent.front() <= sent - window)
                recent.pop_front();
            most = std::max(most, recent.size());
        }
        return most;
    }

    std::size_t sent() const
    {
        return sent_.size();
    }

private:
    double draw()
    {
        return std::uniform_real_distribution<double>()(random_);
    }

    void send_all(time_point now)
    {
        for (auto& daemon : daemons_) {
            const auto allowed = daemon.next_allowed_at(process);
            if (!allowed || *allowed > now)
                continue;
            daemon.on_sent(process, now);
            sent_.push_back(now);
        }
    }

    double limit_;
    std::mt19937 random_;
    std::vector<request_limits> daemons_;
    std::vector<time_point> sent_;
};

request_limits only_daemon()
{
    request_limits limits(instance_id("a"));
    limits.set_daemons({}, true);
    return limits;
}

class request_limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_limits_test);
    CPPUNIT_TEST(all_daemons_together_keep_the_limit);
    CPPUNIT_TEST(what_a_server_takes_is_used);
    CPPUNIT_TEST(a_process_that_names_no_limit_has_none);
    CPPUNIT_TEST(the_newest_observation_counts);
    CPPUNIT_TEST(a_daemon_that_others_do_not_list_sends_nothing);
    CPPUNIT_TEST(a_limit_of_nothing_is_asked_again_now_and_then);
    CPPUNIT_TEST_SUITE_END();

public:
    void all_daemons_together_keep_the_limit()
    {
        check_property("shared request limit", 100, [] {
            const auto count = *rc::gen::inRange<std::size_t>(1, 300);
            const auto tenths = *rc::gen::inRange(1, 200);
            const auto knows_all = *rc::gen::arbitrary<bool>();
            const auto seed = *rc::gen::arbitrary<unsigned>();
            const auto busy = 0.1 * *rc::gen::inRange(1, 11);
            const double limit = 0.1 * tenths;
            sharing_daemons daemons(count, limit, knows_all, seed);
            daemons.run(duration(40000), busy);
            const double allowed =
                factor * limit * static_cast<double>(window.count()) / 1000.0 +
                allowance;
            RC_ASSERT(static_cast<double>(daemons.most_in_window()) <= allowed);
        });
    }

    void what_a_server_takes_is_used()
    {
        for (const std::size_t count : {1U, 8U, 300U})
            for (const double limit : {0.5, 1.1, 3.0, 40.0}) {
                sharing_daemons daemons(count, limit, true, 1);
                constexpr int length_s = 40;
                daemons.run(seconds(length_s), 1.0);
                CPPUNIT_ASSERT(static_cast<double>(daemons.sent()) >=
                               0.8 * limit * length_s);
            }
    }

    void a_process_that_names_no_limit_has_none()
    {
        auto limits = only_daemon();
        CPPUNIT_ASSERT(!limits.next_allowed_at(process));
        limits.observe({process, 2.0, start}, 0.5, start);
        CPPUNIT_ASSERT(limits.next_allowed_at(process).has_value());
        const server_process successor{process.server, process.started_ms + 1};
        CPPUNIT_ASSERT(!limits.next_allowed_at(successor));
        limits.observe({process, {}, start + tick}, 0.5, start + tick);
        CPPUNIT_ASSERT(!limits.next_allowed_at(process));
    }

    void the_newest_observation_counts()
    {
        auto limits = only_daemon();
        limits.observe({process, 2.0, start + tick}, 0.0, start + tick);
        limits.observe({process, {}, start}, 0.0, start + tick);
        CPPUNIT_ASSERT(limits.next_allowed_at(process) == start + tick);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             limits.recent(window, start + tick).size());
        CPPUNIT_ASSERT(limits.recent(tick, start + 2 * tick).empty());
    }

    void a_daemon_that_others_do_not_list_sends_nothing()
    {
        request_limits limits(instance_id("a"));
        CPPUNIT_ASSERT(!limits.next_allowed_at(process));
        limits.observe({process, 2.0, start}, 0.0, start);
        CPPUNIT_ASSERT(limits.next_allowed_at(process) == time_point::max());
        limits.set_daemons({instance_id("b")}, false);
        CPPUNIT_ASSERT(limits.next_allowed_at(process) == time_point::max());
        limits.set_daemons({instance_id("b")}, true);
        CPPUNIT_ASSERT(limits.next_allowed_at(process) <= start);
    }

    void a_limit_of_nothing_is_asked_again_now_and_then()
    {
        auto limits = only_daemon();
        limits.observe({process, 0.0, start}, 1.0, start);
        const auto allowed = limits.next_allowed_at(process);
        CPPUNIT_ASSERT(allowed.has_value());
        CPPUNIT_ASSERT(*allowed > start + window);
        CPPUNIT_ASSERT(*allowed <= start + seconds(10));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_limits_test);

} // namespace

} // namespace barleyfork::testing
