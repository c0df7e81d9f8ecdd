/// Guards against a flood of the store by daemons that hear no lease holder,
/// and against attributions of theirs that nobody else gets to know.

#include <barleyfork/core/suspicion_writes.hpp>
#include <barleyfork/testing/property.hpp>

#include <vector>

namespace barleyfork::testing {

namespace {

constexpr auto holder = suspicion_writer::lease_holder;
constexpr auto cut_off = suspicion_writer::cut_off;

time_point at(std::int64_t ms)
{
    return time_point(duration(ms));
}

std::vector<reported_blame> blames_of(std::vector<std::uint64_t> crashes)
{
    std::vector<reported_blame> blames;
    for (const auto crash : crashes)
        blames.push_back({{1, crash}, duration{0}});
    return blames;
}

} // namespace

class suspicion_writes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(suspicion_writes_test);
    CPPUNIT_TEST(what_is_not_stored_is_written);
    CPPUNIT_TEST(only_a_holder_writes_what_others_wrote);
    CPPUNIT_TEST(a_restored_store_gets_all_again);
    CPPUNIT_TEST(what_was_read_is_bounded);
    CPPUNIT_TEST(many_daemons_write_no_more_than_few);
    CPPUNIT_TEST_SUITE_END();

public:
    void what_is_not_stored_is_written()
    {
        for (const auto writer : {holder, cut_off}) {
            suspicion_writes writes;
            const auto known = blames_of({1});
            CPPUNIT_ASSERT(!writes.is_due(writer, {}, 4, at(0)));
            CPPUNIT_ASSERT(writes.is_due(writer, known, 4, at(0)));
            writes.on_started(at(0));
            CPPUNIT_ASSERT(!writes.is_due(writer, known, 4, at(999)));
            CPPUNIT_ASSERT(writes.is_due(writer, known, 4, at(1000)));
            writes.on_written(known);
            CPPUNIT_ASSERT(!writes.is_due(writer, known, 4, at(1000)));
            CPPUNIT_ASSERT(
                writes.is_due(writer, blames_of({1, 2}), 4, at(1000)));
        }
    }

    void only_a_holder_writes_what_others_wrote()
    {
        suspicion_writes writes;
        writes.on_read(blames_of({1}));
        CPPUNIT_ASSERT(!writes.is_due(cut_off, blames_of({1}), 4, at(0)));
        CPPUNIT_ASSERT(writes.is_due(holder, blames_of({1}), 4, at(0)));
    }

    void a_restored_store_gets_all_again()
    {
        suspicion_writes writes;
        writes.on_read(blames_of({1}));
        writes.on_written(blames_of({2}));
        writes.on_store_restored();
        for (const std::uint64_t crash : {1U, 2U})
            CPPUNIT_ASSERT(
                writes.is_due(cut_off, blames_of({crash}), 4, at(0)));
    }

    /// What another row still has is written once more, nothing else.
    void what_was_read_is_bounded()
    {
        suspicion_writes writes;
        for (std::uint64_t crash = 0;
             crash <= suspicion_writes::max_read_blames;
             ++crash)
            writes.on_read(blames_of({crash}));
        CPPUNIT_ASSERT(writes.is_due(cut_off, blames_of({0}), 4, at(0)));
        CPPUNIT_ASSERT(!writes.is_due(
            cut_off, blames_of({suspicion_writes::max_read_blames}), 4, at(0)));
    }

    /// Each knows of a new crash at any time, and hears of none of the others.
    void many_daemons_write_no_more_than_few()
    {
        for (const std::size_t daemons : {1U, 5U, 30U, 295U, 410U}) {
            constexpr std::int64_t span_ms = 120000;
            constexpr std::int64_t step_ms = 100;
            std::vector<suspicion_writes> all(daemons);
            std::uint64_t crash = 0;
            std::size_t started = 0;
            for (std::int64_t ms = 0; ms < span_ms; ms += step_ms)
                for (auto& writes : all) {
                    const auto known = blames_of({++crash});
                    if (!writes.is_due(cut_off, known, daemons, at(ms)))
                        continue;
                    writes.on_started(at(ms));
                    writes.on_written(known);
                    ++started;
                }
            const auto allowed =
                static_cast<std::size_t>(
                    span_ms / 1000 *
                    suspicion_writes::max_cut_off_writes_per_second) +
                daemons;
            CPPUNIT_ASSERT(started <= allowed);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(suspicion_writes_test);

} // namespace barleyfork::testing
