/// How many daemons ask the store when the placement's holder falls silent,
/// and how soon one of them takes its lease.

#include <barleyfork/core/lease.hpp>
#include <barleyfork/core/takeover_turn.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};
constexpr std::size_t daemons = 295;
constexpr std::size_t well_placed = 18;
constexpr duration tick{100};
/// A holder acts this long without renewing, and others wait so much longer.
constexpr duration lease_term{5000};
/// The last word of the holder came this long before it counts as silent.
constexpr duration silence{1800};
/// From a new holder's word until all have heard it.
constexpr duration spread_of_word{100};

/// A deployment of 18 daemons with a wide link and many with a narrow one.
class candidates
{
public:
    explicit candidates(std::uint64_t seed) : random_(seed), turns_(daemons)
    {
        for (auto& turn : turns_)
            turn.hear(true, rank(&turn - turns_.data()), start, 0.0);
    }

    /// From the holder's silence at `start` on; the lease ends for others at
    /// `ends`. Counts looks at the row until all have heard a new holder.
    std::size_t looks_until_taken(time_point ends)
    {
        std::size_t looks = 0;
        for (auto now = start; now < start + duration{20000}; now += tick) {
            const bool heard = taken_at_ && now >= *taken_at_ + spread_of_word;
            if (heard)
                return looks;
            for (std::size_t i = 0; i < turns_.size(); ++i) {
                turns_[i].hear(false, rank(i), now, draw());
                if (!turns_[i].due(now))
                    continue;
                ++looks;
                if (now >= ends && !taken_at_) {
                    taken_at_ = now;
                    taker_ = i;
                }
                turns_[i].looked(
                    taken_at_ ? now + lease_term : ends, rank(i), now, draw());
            }
        }
        return looks;
    }

    std::optional<time_point> taken_at() const
    {
        return taken_at_;
    }

    std::size_t taker() const
    {
        return taker_;
    }

private:
    static holder_rank rank(std::size_t index)
    {
        if (index < well_placed)
            return {well_placed, daemons, 0.0};
        return {daemons, daemons, 0.9};
    }

    double draw()
    {
        return std::uniform_real_distribution<double>()(random_);
    }

    std::mt19937_64 random_;
    std::vector<takeover_turn> turns_;
    std::optional<time_point> taken_at_;
    std::size_t taker_ = daemons;
};

} // namespace

class takeover_turn_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(takeover_turn_test);
    CPPUNIT_TEST(a_lost_holder_is_replaced_with_few_calls);
    CPPUNIT_TEST(a_holder_that_is_only_silent_costs_few_calls);
    CPPUNIT_TEST(a_named_daemon_looks_at_once);
    CPPUNIT_TEST(nobody_looks_while_the_holder_is_heard);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The lease ends 3.2 s after the silence; within another second it has
    /// a new holder, one of the well placed, and not a quarter of all
    /// daemons have asked the store.
    void a_lost_holder_is_replaced_with_few_calls()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            candidates all(seed);
            const auto ends = start + lease_term - silence;
            const auto looks = all.looks_until_taken(ends);
            CPPUNIT_ASSERT(all.taken_at().has_value());
            CPPUNIT_ASSERT(*all.taken_at() <= ends + duration{1000});
            CPPUNIT_ASSERT(all.taker() < well_placed);
            CPPUNIT_ASSERT(looks <= daemons / 4);
        }
    }

    /// A holder whose word does not come through renews all the same.
    void a_holder_that_is_only_silent_costs_few_calls()
    {
        candidates all(7);
        const auto looks = all.looks_until_taken(start + duration{3600000});
        CPPUNIT_ASSERT(!all.taken_at().has_value());
        CPPUNIT_ASSERT(looks <= 2 * daemons);
    }

    void a_named_daemon_looks_at_once()
    {
        takeover_turn turn;
        turn.hear(true, {}, start, 0.5);
        turn.released(true, {}, start, 0.5);
        CPPUNIT_ASSERT(turn.due(start));
        turn.released(false, {}, start, 0.0);
        CPPUNIT_ASSERT(!turn.due(start + duration{500}));
    }

    void nobody_looks_while_the_holder_is_heard()
    {
        takeover_turn turn;
        turn.hear(false, {}, start, 0.5);
        turn.hear(true, {}, start + tick, 0.5);
        CPPUNIT_ASSERT(!turn.due(start + duration{60000}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(takeover_turn_test);

} // namespace barleyfork
