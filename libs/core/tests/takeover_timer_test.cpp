/// Guards against a burst of calls to the store when the placement's lease
/// holder falls silent, and against a late takeover of its lease.

#include <barleyfork/core/lease.hpp>
#include <barleyfork/core/takeover_timer.hpp>

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
/// Time for which a holder acts without renewal; other daemons wait longer.
constexpr duration lease_term{5000};
/// Time from the holder's last message until it counts as silent.
constexpr duration silence{1800};
/// Time from a new holder's announcement until all daemons have received it.
constexpr duration announcement_delay{100};

/// A deployment of 18 daemons with a wide link and many with a narrow one.
class candidates
{
public:
    explicit candidates(std::uint64_t seed) : random_(seed), timers_(daemons)
    {
        for (auto& timer : timers_)
            timer.on_peer_state(
                true, rank(&timer - timers_.data()), start, 0.0);
    }

    /// Simulates the time from the holder's silence at `start`, where others
    /// may acquire the lease at `expires_at`. Returns the number of checks of
    /// the row until all have received a new holder's announcement.
    std::size_t checks_until_acquired(time_point expires_at)
    {
        std::size_t checks = 0;
        for (auto now = start; now < start + duration{20000}; now += tick) {
            const bool is_announced =
                acquired_at_ && now >= *acquired_at_ + announcement_delay;
            if (is_announced)
                return checks;
            for (std::size_t i = 0; i < timers_.size(); ++i) {
                timers_[i].on_peer_state(false, rank(i), now, draw());
                if (!timers_[i].due(now))
                    continue;
                ++checks;
                if (now >= expires_at && !acquired_at_) {
                    acquired_at_ = now;
                    new_holder_ = i;
                }
                timers_[i].on_row_checked(acquired_at_ ? now + lease_term
                                                       : expires_at,
                                          rank(i),
                                          now,
                                          draw());
            }
        }
        return checks;
    }

    std::optional<time_point> acquired_at() const
    {
        return acquired_at_;
    }

    std::size_t new_holder() const
    {
        return new_holder_;
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
    std::vector<takeover_timer> timers_;
    std::optional<time_point> acquired_at_;
    std::size_t new_holder_ = daemons;
};

} // namespace

class takeover_timer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(takeover_timer_test);
    CPPUNIT_TEST(replaces_a_failed_holder_with_few_checks);
    CPPUNIT_TEST(an_unreachable_holder_costs_few_checks);
    CPPUNIT_TEST(a_named_successor_checks_at_once);
    CPPUNIT_TEST(does_not_check_while_the_holder_is_reachable);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The lease expires 3.2 s after the silence begins. Within another second
    /// one of the well placed daemons acquires it, with fewer checks than a
    /// quarter of the number of daemons.
    void replaces_a_failed_holder_with_few_checks()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            candidates all(seed);
            const auto expires_at = start + lease_term - silence;
            const auto checks = all.checks_until_acquired(expires_at);
            CPPUNIT_ASSERT(all.acquired_at().has_value());
            CPPUNIT_ASSERT(*all.acquired_at() <= expires_at + duration{1000});
            CPPUNIT_ASSERT(all.new_holder() < well_placed);
            CPPUNIT_ASSERT(checks <= daemons / 4);
        }
    }

    /// A holder whose messages are lost still renews its lease.
    void an_unreachable_holder_costs_few_checks()
    {
        candidates all(7);
        const auto checks =
            all.checks_until_acquired(start + duration{3600000});
        CPPUNIT_ASSERT(!all.acquired_at().has_value());
        CPPUNIT_ASSERT(checks <= 2 * daemons);
    }

    void a_named_successor_checks_at_once()
    {
        takeover_timer timer;
        timer.on_peer_state(true, {}, start, 0.5);
        timer.released(true, {}, start, 0.5);
        CPPUNIT_ASSERT(timer.due(start));
        timer.released(false, {}, start, 0.0);
        CPPUNIT_ASSERT(!timer.due(start + duration{500}));
    }

    void does_not_check_while_the_holder_is_reachable()
    {
        takeover_timer timer;
        timer.on_peer_state(false, {}, start, 0.5);
        timer.on_peer_state(true, {}, start + tick, 0.5);
        CPPUNIT_ASSERT(!timer.due(start + duration{60000}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(takeover_timer_test);

} // namespace barleyfork
