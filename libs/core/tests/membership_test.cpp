#include <barleyfork/core/membership.hpp>
#include <barleyfork/testing/property.hpp>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace barleyfork::testing {

namespace {

using schema::member_state;

/// Members in one process; a message arrives in the next step or is lost.
class small_cluster
{
public:
    explicit small_cluster(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            listed_instance place;
            place.id = instance_id("m" + std::to_string(i));
            list_.push_back(place);
        }
        for (const auto& place : list_) {
            nodes_[place.id] = std::make_unique<membership>(
                place, 1, membership_options{}, nodes_.size() + 1);
            nodes_[place.id]->set_listed(list_);
        }
    }

    void run(std::int64_t ms)
    {
        constexpr std::int64_t step = 50;
        for (std::int64_t i = 0; i < ms; i += step) {
            now_ += duration(step);
            deliver();
            for (auto& [id, node] : nodes_)
                if (!isolated_.contains(id))
                    enqueue(id, node->tick(now_));
        }
    }

    void isolate(const std::string& name)
    {
        isolated_.emplace(name);
    }
    void reconnect(const std::string& name)
    {
        isolated_.erase(instance_id(name));
    }

    void unlist(const std::string& name)
    {
        std::erase_if(list_, [&name](const auto& place) {
            return place.id.value() == name;
        });
        for (auto& [id, node] : nodes_)
            node->set_listed(list_);
    }

    std::size_t live(const std::string& name)
    {
        return nodes_.at(instance_id(name))->live_count();
    }

    member_state state(const std::string& viewer, const std::string& name)
    {
        return nodes_.at(instance_id(viewer))->find(instance_id(name))->state;
    }

    bool knows(const std::string& viewer, const std::string& name)
    {
        return nodes_.at(instance_id(viewer))->find(instance_id(name)) !=
               nullptr;
    }

private:
    struct message_in_transit
    {
        instance_id from;
        outgoing_message out;
    };

    void enqueue(const instance_id& from, std::vector<outgoing_message> all)
    {
        for (auto& out : all)
            in_transit_.push_back({from, std::move(out)});
    }

    void deliver()
    {
        auto arriving = std::exchange(in_transit_, {});
        for (auto& message : arriving) {
            const bool is_lost = isolated_.contains(message.from) ||
                                 isolated_.contains(message.out.to);
            if (is_lost)
                continue;
            auto answer =
                nodes_.at(message.out.to)->receive(message.out.message, now_);
            if (answer)
                in_transit_.push_back({message.out.to, std::move(*answer)});
        }
    }

    time_point now_{duration(1000)};
    std::vector<listed_instance> list_;
    std::map<instance_id, std::unique_ptr<membership>> nodes_;
    std::set<instance_id> isolated_;
    std::vector<message_in_transit> in_transit_;
};

class membership_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_test);
    CPPUNIT_TEST(members_stay_alive_without_faults);
    CPPUNIT_TEST(all_members_detect_an_isolated_member);
    CPPUNIT_TEST(a_reconnected_member_is_alive);
    CPPUNIT_TEST(an_unlisted_member_is_removed);
    CPPUNIT_TEST_SUITE_END();

public:
    void members_stay_alive_without_faults()
    {
        small_cluster cluster(9);
        cluster.run(60000);
        for (int i = 0; i < 9; ++i)
            CPPUNIT_ASSERT_EQUAL(std::size_t{9},
                                 cluster.live("m" + std::to_string(i)));
    }

    void all_members_detect_an_isolated_member()
    {
        small_cluster cluster(9);
        cluster.run(5000);
        cluster.isolate("m3");
        cluster.run(15000);
        for (const auto* viewer : {"m0", "m8"})
            CPPUNIT_ASSERT(cluster.state(viewer, "m3") == member_state::gone);
    }

    void a_reconnected_member_is_alive()
    {
        small_cluster cluster(9);
        cluster.isolate("m3");
        cluster.run(15000);
        cluster.reconnect("m3");
        cluster.run(20000);
        for (const auto* viewer : {"m0", "m8"})
            CPPUNIT_ASSERT(cluster.state(viewer, "m3") == member_state::alive);
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, cluster.live("m3"));
    }

    void an_unlisted_member_is_removed()
    {
        small_cluster cluster(4);
        cluster.run(2000);
        cluster.isolate("m2");
        cluster.unlist("m2");
        cluster.run(3000);
        CPPUNIT_ASSERT(!cluster.knows("m0", "m2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.live("m0"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);

} // namespace

} // namespace barleyfork::testing
