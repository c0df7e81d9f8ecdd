/// Which requests a daemon still accepts after it was asked to stop.

#include <barleyfork/core/drain_plan.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};
constexpr duration grace{8000};
constexpr duration after_rotation{4000};
constexpr duration timeout{1000};

} // namespace

class drain_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(drain_plan_test);
    CPPUNIT_TEST(accepts_all_requests_while_not_draining);
    CPPUNIT_TEST(accepts_all_requests_until_left_rotation);
    CPPUNIT_TEST(accepts_late_plain_requests_whose_deadline_is_before_the_exit);
    CPPUNIT_TEST(rejects_streams_after_left_rotation);
    CPPUNIT_TEST(rejects_all_requests_once_closed);
    CPPUNIT_TEST_SUITE_END();

public:
    void accepts_all_requests_while_not_draining()
    {
        const drain_plan plan;
        CPPUNIT_ASSERT(!plan.draining());
        CPPUNIT_ASSERT(plan.accepts_plain(start, time_point::max()));
        CPPUNIT_ASSERT(plan.accepts_streams(start));
    }

    void accepts_all_requests_until_left_rotation()
    {
        const drain_plan plan(start, grace);
        const auto now = start + drain_plan::rotation_exit_delay - duration{1};
        CPPUNIT_ASSERT(plan.accepts_plain(now, time_point::max()));
        CPPUNIT_ASSERT(plan.accepts_streams(now));
    }

    void accepts_late_plain_requests_whose_deadline_is_before_the_exit()
    {
        const drain_plan plan(start, grace);
        const auto late = start + after_rotation;
        CPPUNIT_ASSERT(plan.accepts_plain(late, late + timeout));
        CPPUNIT_ASSERT(plan.accepts_plain(late, plan.exits_at()));
        CPPUNIT_ASSERT(
            !plan.accepts_plain(late, plan.exits_at() + duration{1}));
        const auto last = plan.exits_at() - duration{100};
        CPPUNIT_ASSERT(!plan.accepts_plain(last, last + timeout));
        CPPUNIT_ASSERT(plan.exits_at() < start + grace);
    }

    /// A stream that the exit of the daemon truncates is worse for the caller
    /// than a rejected one.
    void rejects_streams_after_left_rotation()
    {
        const drain_plan plan(start, grace);
        CPPUNIT_ASSERT(!plan.accepts_streams(start + after_rotation));
    }

    /// Requests may still arrive between the last response and the exit of the
    /// process.
    void rejects_all_requests_once_closed()
    {
        drain_plan plan(start, grace);
        const auto late = start + after_rotation;
        CPPUNIT_ASSERT(plan.accepts_plain(late, late + timeout));
        plan.close();
        CPPUNIT_ASSERT(!plan.accepts_plain(late, late + timeout));
        CPPUNIT_ASSERT(!plan.accepts_streams(start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(drain_plan_test);

} // namespace barleyfork
