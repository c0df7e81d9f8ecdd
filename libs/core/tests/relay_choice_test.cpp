/// Who passes the placement's news on in a failure domain after losses.

#include <barleyfork/core/relay_choice.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <vector>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};
constexpr duration beat{200};

} // namespace

class relay_choice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_choice_test);
    CPPUNIT_TEST(a_relay_that_is_heard_stays);
    CPPUNIT_TEST(a_dead_holder_does_not_stay_the_relay);
    CPPUNIT_TEST(without_daemons_there_is_none);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_relay_that_is_heard_stays()
    {
        relay_choice choice;
        auto daemons = make(start);
        const auto first = choice.pick(domain_, daemons, start);
        daemons[0].heard_at = start + beat;
        daemons[1].heard_at = start + 2 * beat;
        CPPUNIT_ASSERT(choice.pick(domain_, daemons, start + beat) == first);
    }

    /// The old holder was the only daemon of its domain that the new one ever
    /// heard. The others speak to the new holder once they hear it.
    void a_dead_holder_does_not_stay_the_relay()
    {
        relay_choice choice;
        auto daemons = make(time_point{});
        daemons[1].heard_at = start - relay_choice::silence;
        std::set<std::size_t> told;
        for (int i = 0; i < 3; ++i)
            told.insert(*choice.pick(domain_, daemons, start + i * beat));
        CPPUNIT_ASSERT_EQUAL(daemons.size(), told.size());
        daemons[2].heard_at = start + 3 * beat;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             *choice.pick(domain_, daemons, start + 3 * beat));
    }

    void without_daemons_there_is_none()
    {
        relay_choice choice;
        CPPUNIT_ASSERT(!choice.pick(domain_, {}, start));
    }

private:
    static std::vector<relay_candidate> make(time_point heard_at)
    {
        return {{instance_id("a"), heard_at},
                {instance_id("b"), heard_at},
                {instance_id("c"), heard_at}};
    }

    const failure_domain_id domain_{"z"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_choice_test);

} // namespace barleyfork
