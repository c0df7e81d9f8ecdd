/// Guards against a failure domain in which no daemon, or several daemons, read
/// the store: after lost announcements, stops and restarts exactly one daemon
/// reads within a bound.

#include <barleyfork/core/reader_election.hpp>
#include <barleyfork/testing/property.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};
constexpr duration tick{100};
constexpr int ticks_per_announcement = 4;
/// An announcement's lifetime, all head starts, and two ticks.
constexpr int ticks_to_recover = 24;

/// Daemons of one failure domain that receive each other's announcements.
class domain_world
{
public:
    explicit domain_world(int size)
    {
        for (int i = 0; i < size; ++i)
            daemons_.push_back(make(i));
        running_.assign(daemons_.size(), true);
    }

    void step(bool announcements_arrive)
    {
        now_ += tick;
        ++steps_;
        const bool announces = steps_ % ticks_per_announcement == 0;
        for (std::size_t i = 0; i < daemons_.size(); ++i)
            if (running_[i] && daemons_[i].decide(now_) && announces &&
                announcements_arrive)
                announce_to_others(i);
    }

    void stop(std::size_t index)
    {
        running_[index] = false;
    }

    void restart(std::size_t index)
    {
        daemons_[index] = make(static_cast<int>(index));
        running_[index] = true;
    }

    int readers() const
    {
        int count = 0;
        for (std::size_t i = 0; i < daemons_.size(); ++i)
            count += running_[i] && daemons_[i].is_reader() ? 1 : 0;
        return count;
    }

private:
    static reader_rank rank_of(int index)
    {
        return {10.0, instance_id("d" + std::to_string(index))};
    }

    reader_election make(int index) const
    {
        reader_election choice(rank_of(index), now_);
        choice.set_better_placed(static_cast<std::size_t>(index));
        return choice;
    }

    void announce_to_others(std::size_t announcer)
    {
        for (std::size_t i = 0; i < daemons_.size(); ++i)
            if (i != announcer && running_[i])
                daemons_[i].on_reader_announcement(
                    rank_of(static_cast<int>(announcer)), true, now_);
    }

    time_point now_ = start;
    int steps_ = 0;
    std::vector<reader_election> daemons_;
    std::vector<bool> running_;
};

} // namespace

class reader_election_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reader_election_test);
    CPPUNIT_TEST(exactly_one_of_many_reads);
    CPPUNIT_TEST(a_fast_link_is_preferred);
    CPPUNIT_TEST(a_reader_that_loses_the_store_is_replaced_at_once);
    CPPUNIT_TEST(one_daemon_reads_after_any_losses);
    CPPUNIT_TEST_SUITE_END();

public:
    void exactly_one_of_many_reads()
    {
        domain_world world(9);
        for (int i = 0; i < 2 * ticks_to_recover; ++i)
            world.step(true);
        CPPUNIT_ASSERT_EQUAL(1, world.readers());
        // The best daemon stops and restarts; at first it knows of no other
        // reader.
        world.stop(0);
        for (int i = 0; i < ticks_to_recover; ++i)
            world.step(true);
        CPPUNIT_ASSERT_EQUAL(1, world.readers());
        world.restart(0);
        for (int i = 0; i < 2 * ticks_per_announcement; ++i)
            world.step(true);
        CPPUNIT_ASSERT_EQUAL(1, world.readers());
    }

    void a_fast_link_is_preferred()
    {
        const reader_rank fast{200.0, instance_id("z")};
        const reader_rank slow{10.0, instance_id("a")};
        CPPUNIT_ASSERT(fast.is_better_than(slow));
        reader_election choice(slow, start);
        choice.set_better_placed(0);
        CPPUNIT_ASSERT(choice.decide(start));
        choice.on_reader_announcement(fast, true, start);
        CPPUNIT_ASSERT(!choice.decide(start));
    }

    void a_reader_that_loses_the_store_is_replaced_at_once()
    {
        const reader_rank other{10.0, instance_id("a")};
        reader_election choice({10.0, instance_id("b")}, start);
        choice.set_better_placed(1);
        choice.on_reader_announcement(other, true, start);
        CPPUNIT_ASSERT(!choice.decide(start));
        choice.on_reader_announcement(other, false, start + tick);
        CPPUNIT_ASSERT(!choice.decide(start + tick));
        CPPUNIT_ASSERT(
            choice.decide(start + tick + reader_election::head_start));
    }

    void one_daemon_reads_after_any_losses()
    {
        testing::check_property("reader choice", 300, [] {
            const int size = *rc::gen::inRange(1, 12);
            domain_world world(size);
            const auto losses = *rc::gen::inRange(0, 40);
            for (int i = 0; i < losses; ++i) {
                const auto victim =
                    static_cast<std::size_t>(*rc::gen::inRange(0, size));
                const int event = *rc::gen::inRange(0, 3);
                if (event == 0 && size > 1)
                    world.stop(victim);
                else
                    world.restart(victim);
                world.step(event != 2);
            }
            world.restart(0);
            for (int i = 0; i < ticks_to_recover; ++i)
                world.step(true);
            RC_ASSERT(world.readers() == 1);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reader_election_test);

} // namespace barleyfork
