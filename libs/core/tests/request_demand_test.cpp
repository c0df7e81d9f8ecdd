/// The demand that daemons report in the first seconds after all of them start
/// anew before saturated servers.

#include <barleyfork/core/request_demand.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace barleyfork {

class request_demand_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_demand_test);
    CPPUNIT_TEST(queues_do_not_count_as_work);
    CPPUNIT_TEST(a_quick_model_demands_less);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t prompt_tokens = 2400;
    static constexpr std::uint64_t output_tokens = 40;

    /// A model's pace after answers to prompts of different length.
    static pace_estimator
    measure(int answers, double ms_per_token, duration queue)
    {
        pace_estimator pace;
        for (int i = 0; i < answers; ++i) {
            const std::uint64_t tokens = 400 + 400 * (i % 8);
            const auto own = static_cast<std::int64_t>(
                ms_per_token * static_cast<double>(tokens));
            // Those that wait behind long prompts wait longest.
            pace.observe(tokens, duration(own) + queue * (1 + i % 8) / 4);
        }
        return pace;
    }

public:
    /// The most wanted model is answered 40 times, each time from a queue; the
    /// other one too rarely to be measured. Both run equally fast.
    void queues_do_not_count_as_work()
    {
        const auto measured = measure(40, 0.04, duration{1000});
        const auto unmeasured = measure(4, 0.04, duration{1000});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            demanded_work(prompt_tokens, output_tokens, unmeasured),
            demanded_work(prompt_tokens, output_tokens, measured),
            1e-9);
    }

    void a_quick_model_demands_less()
    {
        const auto quick = measure(40, 0.01, duration{0});
        const pace_estimator unmeasured;
        CPPUNIT_ASSERT(
            demanded_work(prompt_tokens, output_tokens, quick) <
            0.5 * demanded_work(prompt_tokens, output_tokens, unmeasured));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_demand_test);

} // namespace barleyfork
