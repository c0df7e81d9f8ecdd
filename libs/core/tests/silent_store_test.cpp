/// Guards against daemons that believe for too long, on each other's word, that
/// what they know is the newest, while the store is silent for any of them.

#include <barleyfork/core/table_follower.hpp>
#include <barleyfork/testing/property.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <vector>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};
constexpr duration tick{50};
constexpr duration call_timeout{1000};
constexpr duration bound{2500};
constexpr duration holder_announcement_interval{200};

/// Daemons that confirm to each other which state of the store is the newest:
/// the first one holds the lease, the second reads for all others.
class confirming_daemons
{
public:
    confirming_daemons(std::vector<bool> silent, double loss_rate)
        : silent_(std::move(silent)), loss_rate_(loss_rate)
    {
        const auto intervals =
            shorten_to_bound(follower_intervals(), bound, call_timeout);
        for (std::size_t i = 0; i < silent_.size(); ++i)
            daemons_.push_back({table_follower(intervals)});
        for (auto& daemon : daemons_)
            daemon.table.on_read(version_, start);
    }

    void run(duration length)
    {
        for (const auto end = now_ + length; now_ < end; now_ += tick) {
            ++version_;
            for (std::size_t i = 0; i < daemons_.size(); ++i)
                step(i);
        }
    }

    /// From now on the store has a state that no daemon knows.
    void change()
    {
        ++version_;
        ++state_;
    }

    /// Whether each daemon knows the newest state that the store answers.
    bool all_answered_know_newest() const
    {
        for (std::size_t i = 0; i < daemons_.size(); ++i)
            if (!silent_[i] && daemons_[i].state < state_)
                return false;
        return true;
    }

private:
    struct daemon
    {
        table_follower table;
        int state = 1;
        time_point hangs_until{};
    };

    static follower_role role_of(std::size_t index)
    {
        return index == 0   ? follower_role::holder
               : index == 1 ? follower_role::reader
                            : follower_role::neighbour;
    }

    void step(std::size_t index)
    {
        auto& one = daemons_[index];
        announce(index);
        if (now_ < one.hangs_until ||
            one.table.next(role_of(index), true, now_) !=
                follower_step::read_store)
            return;
        if (silent_[index]) {
            one.hangs_until = now_ + call_timeout;
            return;
        }
        one.state = state_;
        one.table.on_read(version_, now_);
    }

    /// Confirms to daemons of the same state. Those of an older one get nothing
    /// from others here, so that they must read themselves.
    void announce(std::size_t index)
    {
        const auto interval = index == 0   ? holder_announcement_interval
                              : index == 1 ? reader_announcement_interval
                                           : duration{0};
        if (interval == duration{0} || (now_ - start) % interval != duration{0})
            return;
        const auto& sender = daemons_[index];
        std::bernoulli_distribution is_lost(loss_rate_);
        for (auto& receiver : daemons_)
            if (receiver.state == sender.state && !is_lost(random_))
                receiver.table.on_confirmed(sender.table.position(),
                                            sender.table.known_at());
    }

    std::vector<bool> silent_;
    double loss_rate_;
    std::vector<daemon> daemons_;
    time_point now_ = start;
    std::uint64_t version_ = 1;
    int state_ = 1;
    std::mt19937_64 random_{20261205};
};

} // namespace

class silent_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(silent_store_test);
    CPPUNIT_TEST(a_change_is_known_in_time_wherever_the_store_answers);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_change_is_known_in_time_wherever_the_store_answers()
    {
        testing::check_property("silent store", 300, [] {
            const auto size = *rc::gen::inRange<std::size_t>(1, 12);
            const auto silent = *rc::gen::container<std::vector<bool>>(
                size, rc::gen::arbitrary<bool>());
            const auto losses = *rc::gen::inRange(0, 60);
            constexpr double percent = 100.0;
            confirming_daemons daemons(silent, losses / percent);
            const auto ticks = *rc::gen::inRange(0, 200);
            daemons.run(ticks * tick);
            daemons.change();
            daemons.run(bound);
            RC_ASSERT(daemons.all_answered_know_newest());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_store_test);

} // namespace barleyfork
