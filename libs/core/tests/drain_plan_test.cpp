/// What a daemon that is told to stop still begins.

#include <barleyfork/core/drain_plan.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};
constexpr duration grace{8000};
constexpr duration late{4000};

} // namespace

class drain_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(drain_plan_test);
    CPPUNIT_TEST(a_daemon_that_stays_begins_all);
    CPPUNIT_TEST(all_is_begun_until_the_balancer_has_noticed);
    CPPUNIT_TEST(plain_requests_are_begun_until_shortly_before_the_end);
    CPPUNIT_TEST(streams_are_not_begun_late);
    CPPUNIT_TEST(nothing_is_begun_once_it_closes);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_daemon_that_stays_begins_all()
    {
        const drain_plan plan;
        CPPUNIT_ASSERT(!plan.draining());
        CPPUNIT_ASSERT(plan.begins_plain(start));
        CPPUNIT_ASSERT(plan.begins_stream(start));
    }

    void all_is_begun_until_the_balancer_has_noticed()
    {
        const drain_plan plan(start, grace);
        const auto now = start + drain_plan::leave_rotation - duration{1};
        CPPUNIT_ASSERT(plan.begins_plain(now));
        CPPUNIT_ASSERT(plan.begins_stream(now));
    }

    void plain_requests_are_begun_until_shortly_before_the_end()
    {
        const drain_plan plan(start, grace);
        CPPUNIT_ASSERT(plan.begins_plain(start + late));
        CPPUNIT_ASSERT(!plan.begins_plain(plan.ends_at() - duration{100}));
        CPPUNIT_ASSERT(plan.ends_at() < start + grace);
    }

    /// A stream that would be cut at the end is worse than one refused.
    void streams_are_not_begun_late()
    {
        const drain_plan plan(start, grace);
        CPPUNIT_ASSERT(!plan.begins_stream(start + late));
    }

    /// Between the last answer and the end of the process requests may still
    /// come.
    void nothing_is_begun_once_it_closes()
    {
        drain_plan plan(start, grace);
        CPPUNIT_ASSERT(plan.begins_plain(start + late));
        plan.close();
        CPPUNIT_ASSERT(!plan.begins_plain(start + late));
        CPPUNIT_ASSERT(!plan.begins_stream(start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(drain_plan_test);

} // namespace barleyfork
