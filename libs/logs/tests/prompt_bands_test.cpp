/// Checks the table of prompt sizes that `barleyfork prompts` shows.

#include <barleyfork/logs/prompt_bands.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace barleyfork {

namespace {

log_line ended(int tokens, const char* outcome, int first_event_ms)
{
    return *parse_log_line(
        "ts=2026-01-01T00:00:00.1 level=INFO instance=a event=request_ended "
        "outcome=" +
        std::string(outcome) + " prompt_tokens=" + std::to_string(tokens) +
        " target_ms=1000 first_event_ms=" + std::to_string(first_event_ms));
}

} // namespace

class prompt_bands_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(prompt_bands_test);
    CPPUNIT_TEST(bands_have_equal_shares_and_ignore_plain_requests);
    CPPUNIT_TEST(outcomes_are_told_apart);
    CPPUNIT_TEST(an_empty_log_has_empty_bands);
    CPPUNIT_TEST_SUITE_END();

public:
    void bands_have_equal_shares_and_ignore_plain_requests()
    {
        std::vector<log_line> log;
        for (int i = 40; i >= 1; --i)
            log.push_back(ended(100 * i, "ok", 10 * i));
        log.push_back(ended(0, "ok", 5000));
        const auto bands = count_prompt_bands(log);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, bands[0].min_tokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, bands[0].max_tokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3100}, bands[3].min_tokens);
        for (const auto& band : bands)
            CPPUNIT_ASSERT_EQUAL(std::size_t{10}, band.in_target);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{350}, bands[3].median_ms);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{390}, bands[3].p95_ms);
    }

    void outcomes_are_told_apart()
    {
        const std::vector<log_line> log{ended(10, "ok", 1000),
                                        ended(10, "ok", 1001),
                                        ended(10, "overloaded", -1),
                                        ended(10, "connection_lost", 900),
                                        ended(10, "timeout", -1)};
        prompt_band sum;
        for (const auto& band : count_prompt_bands(log)) {
            sum.in_target += band.in_target;
            sum.late += band.late;
            sum.refused += band.refused;
            sum.caller_left += band.caller_left;
            sum.failed += band.failed;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sum.in_target);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sum.late);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sum.refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sum.caller_left);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sum.failed);
    }

    void an_empty_log_has_empty_bands()
    {
        for (const auto& band : count_prompt_bands({})) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, band.requests);
            CPPUNIT_ASSERT_EQUAL(std::int64_t{-1}, band.p95_ms);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prompt_bands_test);

} // namespace barleyfork
