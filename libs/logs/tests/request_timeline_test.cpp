/// Checks the causes derived for failed requests against recorded daemon logs.

#include <barleyfork/logs/request_timeline.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <initializer_list>

namespace barleyfork {

namespace {

std::vector<log_line> read_recorded_log()
{
    std::ifstream in(RECORDED_LOG);
    std::vector<log_line> lines;
    for (std::string text; std::getline(in, text);)
        if (auto line = parse_log_line(text))
            lines.push_back(std::move(*line));
    return lines;
}

} // namespace

class request_timeline_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_timeline_test);
    CPPUNIT_TEST(log_lines_are_parsed);
    CPPUNIT_TEST(overload_is_explained_by_full_queues);
    CPPUNIT_TEST(missing_adapter_is_explained);
    CPPUNIT_TEST(crashes_before_and_during_the_response_differ);
    CPPUNIT_TEST(causes_are_counted_without_identifiers);
    CPPUNIT_TEST(a_refused_request_tells_why_it_has_not_run);
    CPPUNIT_TEST(a_send_without_proof_is_told);
    CPPUNIT_TEST(answers_that_came_again_are_shown);
    CPPUNIT_TEST_SUITE_END();

public:
    void log_lines_are_parsed()
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

    void overload_is_explained_by_full_queues()
    {
        expect_cause(
            "c0290fca53eafa83",
            "overloaded: the queues of all servers with model drafter-1 "
            "were too long",
            2);
    }

    void missing_adapter_is_explained()
    {
        expect_cause(
            "cc6fb4cb043bd1aa",
            "no_replica: no server had adapter a5 of model drafter-2 in "
            "time",
            2);
    }

    void crashes_before_and_during_the_response_differ()
    {
        expect_cause(
            "64893738e89f5cae",
            "outcome_unknown: server i-84fa2f1ce9 gave no valid response",
            3);
        // The fourth line is the removal of the server from the server list.
        expect_cause(
            "2f97d67049a96efc",
            "connection_lost: server i-53c12416c3 broke off its response "
            "(status 200)",
            4);
    }

    void causes_are_counted_without_identifiers()
    {
        const auto causes = count_causes(read_recorded_log());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, causes.size());
        const auto found =
            causes.find("outcome_unknown: server gave no valid response");
        CPPUNIT_ASSERT(found != causes.end());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found->second);
    }

    void a_refused_request_tells_why_it_has_not_run()
    {
        const auto story = build_request_timeline(
            parse({"event=request_sent request=r server=a",
                   "event=send_failed request=r server=a end=1 answer=id",
                   "event=request_sent request=r server=b",
                   "event=send_failed request=r server=b end=0 answer=none",
                   "event=request_ended request=r outcome=overloaded"}),
            "r");
        CPPUNIT_ASSERT_EQUAL(
            std::string("not run: of 2 sends 1 were refused in an answer with "
                        "its id, 0 in the first answer on a new connection, 1 "
                        "wrote nothing, 0 have no proof in these logs"),
            story.not_run_proof);
        const auto answered = build_request_timeline(
            parse({"event=request_ended request=r outcome=ok"}), "r");
        CPPUNIT_ASSERT(answered.not_run_proof.empty());
    }

    void a_send_without_proof_is_told()
    {
        const auto story = build_request_timeline(
            parse({"event=request_sent request=r server=a",
                   "event=request_ended request=r outcome=no_replica"}),
            "r");
        CPPUNIT_ASSERT(
            story.not_run_proof.ends_with("1 have no proof in these logs"));
    }

    void answers_that_came_again_are_shown()
    {
        const auto story = build_request_timeline(
            parse({"event=request_ended request=r outcome=overloaded",
                   "event=stray_answer_dropped request=s belongs_to=r"}),
            "r");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, story.lines.size());
    }

private:
    static std::vector<log_line>
    parse(std::initializer_list<const char*> events)
    {
        std::vector<log_line> lines;
        for (const char* event : events)
            lines.push_back(*parse_log_line(
                std::string("ts=2026-01-01T00:00:00.1 level=WARN instance=a ") +
                event));
        return lines;
    }

    static void
    expect_cause(const char* id, const char* cause, std::size_t lines)
    {
        const auto story = build_request_timeline(read_recorded_log(), id);
        CPPUNIT_ASSERT_EQUAL(std::string(cause), story.cause);
        CPPUNIT_ASSERT_EQUAL(lines, story.lines.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_timeline_test);

} // namespace barleyfork
