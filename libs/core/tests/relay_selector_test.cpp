/// Guards against an unresponsive daemon that remains the relay of the
/// placement's updates in a failure domain.

#include <barleyfork/core/relay_selector.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <vector>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};
constexpr duration heartbeat_interval{200};

} // namespace

class relay_selector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_selector_test);
    CPPUNIT_TEST(keeps_a_responsive_relay);
    CPPUNIT_TEST(a_failed_holder_does_not_remain_the_relay);
    CPPUNIT_TEST(picks_none_without_daemons);
    CPPUNIT_TEST_SUITE_END();

public:
    void keeps_a_responsive_relay()
    {
        relay_selector choice;
        auto daemons = make(start);
        const auto first = choice.pick(domain_, daemons, start);
        daemons[0].last_seen_at = start + heartbeat_interval;
        daemons[1].last_seen_at = start + 2 * heartbeat_interval;
        CPPUNIT_ASSERT(
            choice.pick(domain_, daemons, start + heartbeat_interval) == first);
    }

    /// The failed holder is the only daemon of its domain from which the new
    /// holder ever received a message. The others send messages to the new
    /// holder only once they receive its own.
    void a_failed_holder_does_not_remain_the_relay()
    {
        relay_selector choice;
        auto daemons = make(time_point{});
        daemons[1].last_seen_at = start - relay_selector::silence_timeout;
        std::set<std::size_t> picked;
        for (int i = 0; i < 3; ++i)
            picked.insert(
                *choice.pick(domain_, daemons, start + i * heartbeat_interval));
        CPPUNIT_ASSERT_EQUAL(daemons.size(), picked.size());
        daemons[2].last_seen_at = start + 3 * heartbeat_interval;
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{2},
            *choice.pick(domain_, daemons, start + 3 * heartbeat_interval));
    }

    void picks_none_without_daemons()
    {
        relay_selector choice;
        CPPUNIT_ASSERT(!choice.pick(domain_, {}, start));
    }

private:
    static std::vector<relay_candidate> make(time_point last_seen_at)
    {
        return {{instance_id("a"), last_seen_at},
                {instance_id("b"), last_seen_at},
                {instance_id("c"), last_seen_at}};
    }

    const failure_domain_id domain_{"z"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_selector_test);

} // namespace barleyfork
