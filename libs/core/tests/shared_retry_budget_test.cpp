/// The bound on retries that all daemons share: each daemon's part of it, in
/// any order of attempts, over restarts, and without knowledge of the others.

#include <barleyfork/core/shared_retry_budget.hpp>
#include <barleyfork/testing/property.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <memory>
#include <vector>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};

} // namespace

class shared_retry_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shared_retry_budget_test);
    CPPUNIT_TEST(retries_stay_within_every_window);
    CPPUNIT_TEST(retries_decided_together_share_the_budget);
    CPPUNIT_TEST(restarts_grant_no_slack_again);
    CPPUNIT_TEST(daemons_that_know_no_others_keep_the_budget);
    CPPUNIT_TEST_SUITE_END();

public:
    /// In any order of attempts, each window that ends at a retry contains at
    /// most the retries that the ratio and the daemon's share of the slack
    /// allow.
    void retries_stay_within_every_window()
    {
        testing::check_property("retries stay within every window", 300, [] {
            constexpr std::size_t daemons = 4;
            const shared_retry_limits limits{0.2, duration{1000}, 16.0};
            shared_retry_budget budget(limits);
            budget.set_daemon_count(daemons);
            std::vector<time_point> first_attempts;
            std::vector<time_point> retries;
            auto now = start;
            const auto steps =
                *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 120));
            for (const int step : steps) {
                now += duration(step);
                if (step % 3 == 0) {
                    budget.record_first_attempt(now);
                    first_attempts.push_back(now);
                }
                else if (const auto retry = budget.reserve_retry(now)) {
                    retry->spend(now);
                    retries.push_back(now);
                }
                const auto count_in_window = [now, &limits](const auto& times) {
                    return std::count_if(
                        times.begin(), times.end(), [&](time_point at) {
                            return at > now - limits.window;
                        });
                };
                const double allowed =
                    limits.ratio *
                        static_cast<double>(count_in_window(first_attempts)) +
                    limits.slack / daemons;
                RC_ASSERT(static_cast<double>(count_in_window(retries)) <=
                          allowed + limits.ratio);
            }
        });
    }

    /// Many requests fail at one moment and are sent again later.
    void retries_decided_together_share_the_budget()
    {
        const shared_retry_limits limits{0.2, duration{1000}, 16.0};
        shared_retry_budget budget(limits);
        budget.set_daemon_count(1);
        std::vector<std::unique_ptr<shared_retry_budget::reservation>> decided;
        while (auto retry = budget.reserve_retry(start))
            decided.push_back(std::move(retry));
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, decided.size());
        for (auto& retry : decided)
            retry->spend(start);
        decided.clear();
        CPPUNIT_ASSERT(!budget.allows_retry(start));
        CPPUNIT_ASSERT(budget.allows_retry(start + limits.window));
        budget.reserve_retry(start + limits.window).reset();
        const auto later = start + limits.window;
        while (auto retry = budget.reserve_retry(later))
            decided.push_back(std::move(retry));
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, decided.size());
    }

    /// Daemons that are each started anew again and again, at random, and want
    /// as many retries as they may have.
    void restarts_grant_no_slack_again()
    {
        testing::check_property("retry budget over restarts", 100, [] {
            const auto daemons = *rc::gen::inRange<std::size_t>(1, 6);
            const shared_retry_limits limits{0.2, duration{1000}, 16.0};
            const auto restart = [&](time_point now) {
                shared_retry_budget budget(limits);
                budget.set_daemon_count(daemons);
                budget.set_predecessors(now);
                return budget;
            };
            std::vector<shared_retry_budget> budgets;
            for (std::size_t i = 0; i < daemons; ++i) {
                budgets.emplace_back(limits);
                budgets.back().set_daemon_count(daemons);
            }
            std::deque<time_point> retries;
            constexpr int steps = 400;
            const auto restart_percent = *rc::gen::inRange(0, 30);
            for (int step = 0; step < steps; ++step) {
                const auto now = start + duration{10} * step;
                for (auto& budget : budgets) {
                    if (*rc::gen::inRange(0, 100) < restart_percent)
                        budget = restart(now);
                    while (const auto retry = budget.reserve_retry(now)) {
                        retry->spend(now);
                        retries.push_back(now);
                    }
                }
                while (!retries.empty() &&
                       retries.front() <= now - limits.window)
                    retries.pop_front();
                RC_ASSERT(static_cast<double>(retries.size()) <= limits.slack);
            }
        });
    }

    /// Hundreds that start while the list of daemons cannot be read.
    void daemons_that_know_no_others_keep_the_budget()
    {
        constexpr int daemons = 300;
        const shared_retry_limits limits{0.2, duration{1000}, 56.0};
        int retries = 0;
        for (int i = 0; i < daemons; ++i) {
            shared_retry_budget budget(limits);
            while (const auto retry = budget.reserve_retry(start)) {
                retry->spend(start);
                ++retries;
            }
        }
        CPPUNIT_ASSERT(retries <= limits.slack);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_retry_budget_test);

} // namespace barleyfork
