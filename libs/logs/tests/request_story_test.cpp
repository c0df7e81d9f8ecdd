/// Stories of requests, from lines that daemons wrote on a day of trouble.

#include <barleyfork/logs/request_story.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>

namespace barleyfork {

namespace {

std::vector<log_line> read_recorded()
{
    std::ifstream in(RECORDED_LOG);
    std::vector<log_line> lines;
    for (std::string text; std::getline(in, text);)
        if (auto line = parse_log_line(text))
            lines.push_back(std::move(*line));
    return lines;
}

} // namespace

class request_story_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_story_test);
    CPPUNIT_TEST(lines_are_taken_apart);
    CPPUNIT_TEST(a_refusal_under_load);
    CPPUNIT_TEST(an_adapter_that_did_not_come);
    CPPUNIT_TEST(a_crash_before_and_within_the_answer);
    CPPUNIT_TEST(causes_are_counted);
    CPPUNIT_TEST_SUITE_END();

public:
    void lines_are_taken_apart()
    {
        const auto line = parse_log_line(
            "12.5 host ts=2026-01-01T00:00:00.1 level=WARN instance=a "
            "event=store_lost error=\"no \\\"way\\\"\" empty=\"\" n=5");
        CPPUNIT_ASSERT(line.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("store_lost"), line->event);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), line->instance);
        CPPUNIT_ASSERT(line->field("error") == "no \"way\"");
        CPPUNIT_ASSERT(line->field("n") == "5");
        CPPUNIT_ASSERT(!parse_log_line("no event here"));
    }

    void a_refusal_under_load()
    {
        check("c0290fca53eafa83",
              "overloaded: the queues of all servers with model drafter-1 "
              "were too long",
              2);
    }

    void an_adapter_that_did_not_come()
    {
        check("cc6fb4cb043bd1aa",
              "no_replica: no server had adapter a5 of model drafter-2 in "
              "time",
              2);
    }

    void a_crash_before_and_within_the_answer()
    {
        check("64893738e89f5cae",
              "outcome_unknown: server i-84fa2f1ce9 gave no good answer",
              3);
        // The fourth line is the server's leaving of the list.
        check("2f97d67049a96efc",
              "connection_lost: server i-53c12416c3 broke its answer off "
              "(status 200)",
              4);
    }

    void causes_are_counted()
    {
        const auto causes = count_causes(read_recorded());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, causes.size());
        const auto found =
            causes.find("outcome_unknown: server gave no good answer");
        CPPUNIT_ASSERT(found != causes.end());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found->second);
    }

private:
    static void check(const char* id, const char* cause, std::size_t lines)
    {
        const auto story = tell_story(read_recorded(), id);
        CPPUNIT_ASSERT_EQUAL(std::string(cause), story.cause);
        CPPUNIT_ASSERT_EQUAL(lines, story.lines.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_story_test);

} // namespace barleyfork
