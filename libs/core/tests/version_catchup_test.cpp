/// Checks when a reader of the configuration requests it from other daemons:
/// a version that stays unknown is requested, and not before the store had time
/// to deliver it.

#include <barleyfork/core/version_catchup.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};
constexpr duration tick{10};

} // namespace

class version_catchup_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(version_catchup_test);
    CPPUNIT_TEST(requests_a_version_that_stays_unknown);
    CPPUNIT_TEST(does_not_request_a_version_that_arrives_in_time);
    CPPUNIT_TEST(requests_again_after_another_grace_period);
    CPPUNIT_TEST_SUITE_END();

public:
    void requests_a_version_that_stays_unknown()
    {
        version_catchup catchup;
        CPPUNIT_ASSERT(!catchup.on_peer_state(11, 8, start));
        CPPUNIT_ASSERT(!catchup.on_peer_state(11, 8, start + tick));
        CPPUNIT_ASSERT(catchup.on_peer_state(
            11, 8, start + version_catchup::store_grace_period));
    }

    void does_not_request_a_version_that_arrives_in_time()
    {
        version_catchup catchup;
        catchup.on_peer_state(11, 8, start);
        CPPUNIT_ASSERT(!catchup.on_peer_state(
            11, 11, start + version_catchup::store_grace_period));
        // The next version has a grace period of its own.
        CPPUNIT_ASSERT(!catchup.on_peer_state(
            12, 11, start + version_catchup::store_grace_period));
    }

    void requests_again_after_another_grace_period()
    {
        version_catchup catchup;
        const auto asked_at = start + version_catchup::store_grace_period;
        catchup.on_peer_state(11, 8, start);
        CPPUNIT_ASSERT(catchup.on_peer_state(11, 8, asked_at));
        CPPUNIT_ASSERT(!catchup.on_peer_state(11, 8, asked_at + tick));
        CPPUNIT_ASSERT(catchup.on_peer_state(
            11, 8, asked_at + version_catchup::store_grace_period));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_catchup_test);

} // namespace barleyfork
