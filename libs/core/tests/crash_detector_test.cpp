/// Processes that ended, told from servers that only broke a connection.

#include <barleyfork/core/crash_detector.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace barleyfork::testing {

namespace {

time_point at(std::int64_t ms)
{
    return time_point{duration{ms}};
}

} // namespace

class crash_detector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_detector_test);
    CPPUNIT_TEST(a_broken_connection_alone_is_no_crash);
    CPPUNIT_TEST(all_requests_of_a_crash_are_reported_once);
    CPPUNIT_TEST(a_process_crashes_once);
    CPPUNIT_TEST(the_crash_of_a_successor_carries_its_id);
    CPPUNIT_TEST(the_crash_of_a_listed_successor_carries_its_id);
    CPPUNIT_TEST(an_abandoned_request_counts_as_in_flight_for_a_while);
    CPPUNIT_TEST(abandoned_requests_share_a_probe);
    CPPUNIT_TEST(an_abandoned_request_is_not_held_against_a_successor);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_broken_connection_alone_is_no_crash()
    {
        crash_detector detector;
        const listening_process process{{server_id("s"), 5}, "a", 1};
        const auto due =
            detector.on_connection_broken(process, {{1, {}}, at(0)}, at(0));
        CPPUNIT_ASSERT(due == at(0) + crash_detector::settling_period);
        CPPUNIT_ASSERT(
            detector.on_probe(process.process.server, true, at(20)).empty());
        // The server is not probed for each broken connection.
        const auto later =
            detector.on_connection_broken(process, {{2, {}}, at(30)}, at(30));
        CPPUNIT_ASSERT(later == *due + crash_detector::min_probe_interval);
    }

    void all_requests_of_a_crash_are_reported_once()
    {
        crash_detector detector;
        const listening_process process{{server_id("s"), 5}, "a", 1};
        CPPUNIT_ASSERT(
            detector.on_connection_broken(process, {{1, {}}, at(0)}, at(0)));
        CPPUNIT_ASSERT(
            !detector.on_connection_broken(process, {{2, {}}, at(0)}, at(5)));
        const auto ended =
            detector.on_probe(process.process.server, false, at(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ended.front().in_flight.size());
        CPPUNIT_ASSERT(
            detector.on_probe(process.process.server, false, at(20)).empty());
        crash_detector elsewhere;
        elsewhere.on_connection_broken(process, {{9, {}}, at(0)}, at(700));
        CPPUNIT_ASSERT_EQUAL(
            ended.front().crash,
            elsewhere.on_probe(process.process.server, false, at(20))
                .front()
                .crash);
    }

    /// A successor listens at the address before it is listed.
    void a_process_crashes_once()
    {
        crash_detector detector;
        const listening_process process{{server_id("s"), 5}, "a", 1};
        detector.on_connection_broken(process, {{1, {}}, at(0)}, at(0));
        const auto ended =
            detector.on_probe(process.process.server, false, at(20));
        // The request was sent to the successor, which still runs.
        CPPUNIT_ASSERT(detector.on_connection_broken(
            process, {{2, {}}, at(500)}, at(700)));
        CPPUNIT_ASSERT(
            detector.on_probe(process.process.server, true, at(720)).empty());
        // The request broke with the exited process and is reported late.
        CPPUNIT_ASSERT(
            detector.on_connection_broken(process, {{3, {}}, at(10)}, at(800)));
        const auto late =
            detector.on_probe(process.process.server, true, at(1300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late.size());
        CPPUNIT_ASSERT_EQUAL(ended.front().crash, late.front().crash);
        CPPUNIT_ASSERT(late.front().in_flight == std::vector<std::uint64_t>{3});
        // The successor is listed.
        const listening_process next{{server_id("s"), 6}, "a", 1};
        CPPUNIT_ASSERT(
            detector.on_connection_broken(next, {{4, {}}, at(2000)}, at(2100)));
        CPPUNIT_ASSERT(
            detector.on_probe(next.process.server, true, at(2120)).empty());
    }

    /// The crash of a successor that is listed later carries the successor's
    /// id.
    void the_crash_of_a_successor_carries_its_id()
    {
        crash_detector detector;
        const listening_process process{{server_id("s"), 5}, "a", 1};
        const listening_process next{{server_id("t"), 6}, "a", 1};
        const listening_process elsewhere{{server_id("u"), 6}, "a", 2};
        detector.on_connection_broken(process, {{1, {}}, at(0)}, at(0));
        detector.on_probe(process.process.server, false, at(20));
        CPPUNIT_ASSERT(detector.on_connection_broken(
            process, {{2, {}}, at(500)}, at(700)));
        CPPUNIT_ASSERT(
            detector.on_probe(process.process.server, false, at(720)).empty());
        CPPUNIT_ASSERT(!detector.on_process_listed(process));
        CPPUNIT_ASSERT(!detector.on_process_listed(elsewhere));
        const auto ended = detector.on_process_listed(next);
        CPPUNIT_ASSERT(ended);
        CPPUNIT_ASSERT(ended->in_flight == std::vector<std::uint64_t>{2});
        CPPUNIT_ASSERT(!detector.on_process_listed(next));
        crash_detector other;
        other.on_connection_broken(next, {{3, {}}, at(500)}, at(700));
        CPPUNIT_ASSERT_EQUAL(
            other.on_probe(next.process.server, false, at(720)).front().crash,
            ended->crash);
    }

    /// The probe is completed after the successor was listed.
    void the_crash_of_a_listed_successor_carries_its_id()
    {
        crash_detector detector;
        const listening_process process{{server_id("s"), 5}, "a", 1};
        const listening_process next{{server_id("t"), 6}, "a", 1};
        const listening_process third{{server_id("u"), 7}, "a", 1};
        detector.on_connection_broken(process, {{1, {}}, at(0)}, at(0));
        detector.on_probe(process.process.server, false, at(20));
        CPPUNIT_ASSERT(detector.on_connection_broken(
            process, {{2, {}}, at(500)}, at(700)));
        CPPUNIT_ASSERT(!detector.on_process_listed(next));
        const auto ended =
            detector.on_probe(process.process.server, false, at(720));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.size());
        CPPUNIT_ASSERT(ended.front().in_flight ==
                       std::vector<std::uint64_t>{2});
        CPPUNIT_ASSERT(!detector.on_process_listed(third));
        crash_detector other;
        other.on_connection_broken(next, {{3, {}}, at(500)}, at(700));
        CPPUNIT_ASSERT_EQUAL(
            other.on_probe(next.process.server, false, at(720)).front().crash,
            ended.front().crash);
    }

    void an_abandoned_request_counts_as_in_flight_for_a_while()
    {
        const auto kept = crash_detector::abandoned_retention;
        const auto server = process.process.server;
        for (const auto age : {duration{0}, kept - duration{1}, kept}) {
            crash_detector detector;
            detector.on_request_abandoned(process, {1, {}}, at(0));
            CPPUNIT_ASSERT(detector.on_probe(server, true, at(0)).empty());
            const auto ended = detector.on_probe(server, false, at(0) + age);
            CPPUNIT_ASSERT_EQUAL(age == kept, ended.empty());
        }
        // Another one whose connection breaks shows the end as well.
        crash_detector detector;
        detector.on_request_abandoned(process, {1, {}}, at(0));
        detector.on_connection_broken(process, {{2, {}}, at(0)}, at(300));
        const auto ended = detector.on_probe(server, false, at(320));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ended.front().in_flight.size());
    }

    /// Each is probed half a second after it was abandoned at the soonest, and
    /// the server twice a second at most.
    void abandoned_requests_share_a_probe()
    {
        crash_detector detector;
        std::vector<time_point> probes;
        for (std::int64_t ms = 0; ms < 10000; ms += 10)
            if (const auto due =
                    detector.on_request_abandoned(process, {1, {}}, at(ms)))
                probes.push_back(*due);
        CPPUNIT_ASSERT(probes.front() ==
                       at(0) + crash_detector::abandoned_probe_delay);
        for (std::size_t i = 1; i < probes.size(); ++i)
            CPPUNIT_ASSERT(probes[i] - probes[i - 1] >=
                           crash_detector::min_abandoned_probe_delay);
        CPPUNIT_ASSERT(probes.back() >=
                       at(9990) + crash_detector::min_abandoned_probe_delay);
    }

    void an_abandoned_request_is_not_held_against_a_successor()
    {
        const auto server = process.process.server;
        crash_detector detector;
        detector.on_connection_broken(process, {{1, {}}, at(0)}, at(0));
        detector.on_probe(server, false, at(20));
        CPPUNIT_ASSERT(
            !detector.on_request_abandoned(process, {2, {}}, at(500)));
        CPPUNIT_ASSERT(detector.on_probe(server, false, at(600)).empty());
        const listening_process successor{{server, 6}, "a", 1};
        detector.on_request_abandoned(process, {3, {}}, at(700));
        detector.on_connection_broken(successor, {{4, {}}, at(800)}, at(800));
        const auto ended = detector.on_probe(server, false, at(820));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.front().in_flight.size());
    }

private:
    const listening_process process{{server_id("s"), 5}, "a", 1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_detector_test);

} // namespace barleyfork::testing
