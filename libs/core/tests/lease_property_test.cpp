#include <barleyfork/core/lease.hpp>
#include <barleyfork/testing/property.hpp>

#include <array>

namespace barleyfork::testing {

namespace {

enum class lease_action : int
{
    pass_time,
    renew,
    renew_answer_lost,
    renew_lost,
    delayed_write,
    observe_row,
};

/// Two daemons and one lease row. The table may lose responses and may apply a
/// write long after its sender abandoned it.
class lease_world
{
public:
    lease_world()
    {
        for (auto& holder : holders_)
            holder.observe(lease_row{}, 0, now_);
    }

    void run(lease_action action, int first, int second)
    {
        const auto index = static_cast<std::size_t>(first) % holders_.size();
        switch (action) {
        case lease_action::pass_time:
            now_ += duration(second * 50);
            break;
        case lease_action::renew:
            renew(index, true, true);
            break;
        case lease_action::renew_answer_lost:
            renew(index, true, false);
            break;
        case lease_action::renew_lost:
            renew(index, false, false);
            break;
        case lease_action::delayed_write:
            if (!delayed_writes_.empty()) {
                store(delayed_writes_.back());
                delayed_writes_.pop_back();
            }
            break;
        case lease_action::observe_row:
            holders_[index].observe(row_, version_, now_);
            break;
        }
    }

    std::size_t holder_count() const
    {
        std::size_t count = 0;
        for (const auto& holder : holders_)
            count += holder.held(now_) ? 1 : 0;
        return count;
    }

    bool was_ever_held() const noexcept
    {
        return was_ever_held_;
    }
    std::uint64_t epoch() const noexcept
    {
        return row_.epoch;
    }

private:
    struct sent_write
    {
        lease_row row;
        std::uint64_t expected = 0;
    };

    bool store(const sent_write& write)
    {
        if (write.expected != version_)
            return false;
        row_ = write.row;
        ++version_;
        return true;
    }

    void renew(std::size_t index, bool is_delivered, bool is_answered)
    {
        auto& holder = holders_[index];
        const auto expected = holder.version().number();
        const auto row =
            holder.next_write(true, "w" + std::to_string(++write_count_), now_);
        if (!row)
            return;
        const sent_write write{*row, expected};
        if (!is_delivered) {
            delayed_writes_.push_back(write);
            return;
        }
        const bool is_stored = store(write);
        if (is_stored && is_answered)
            holder.written(*row, version_, now_);
        was_ever_held_ |= holder.held(now_);
    }

    time_point now_{duration(1000)};
    std::array<lease, 2> holders_{lease(instance_id("a"), {}),
                                  lease(instance_id("b"), {})};
    lease_row row_;
    std::uint64_t version_ = 0;
    std::vector<sent_write> delayed_writes_;
    int write_count_ = 0;
    bool was_ever_held_ = false;
};

class lease_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lease_property_test);
    CPPUNIT_TEST(at_most_one_daemon_holds_the_lease);
    CPPUNIT_TEST(a_free_lease_is_acquired_with_a_larger_epoch);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int cases = 5000;
    static constexpr int max_commands = 200;
    static constexpr weighted_actions<lease_action> actions{
        {10, lease_action::pass_time},
        {8, lease_action::renew},
        {2, lease_action::renew_answer_lost},
        {2, lease_action::renew_lost},
        {2, lease_action::delayed_write},
        {6, lease_action::observe_row}};

public:
    void at_most_one_daemon_holds_the_lease()
    {
        check_property("lease", cases, [] {
            const auto commands = *gen_commands(actions, max_commands);
            lease_world world;
            std::uint64_t epoch = 0;
            for (const auto& [action, first, second] : commands) {
                world.run(action, first, second);
                RC_ASSERT(world.holder_count() <= 1U);
                RC_ASSERT(world.epoch() >= epoch);
                epoch = world.epoch();
            }
        });
    }

    void a_free_lease_is_acquired_with_a_larger_epoch()
    {
        lease_world world;
        world.run(lease_action::renew, 0, 0);
        CPPUNIT_ASSERT(world.was_ever_held());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.epoch());
        world.run(lease_action::observe_row, 1, 0);
        for (int i = 0; i < 3; ++i)
            world.run(lease_action::pass_time, 0, 59);
        world.run(lease_action::renew, 1, 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, world.epoch());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_property_test);

} // namespace

} // namespace barleyfork::testing
