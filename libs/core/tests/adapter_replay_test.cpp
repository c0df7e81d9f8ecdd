/// Many adapters of a model that few servers hold, all asked for all the time:
/// the load of gosleid's drawn day fresh-e862, without a bench.

#include <barleyfork/core/placement_controller.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace barleyfork {

namespace {

constexpr std::size_t places = 5;
constexpr std::size_t server_count = 2;
constexpr std::size_t adapter_count = 31;
constexpr duration tick{50};
constexpr duration news_interval{200};
/// A call waits so long for its adapter, is refused, and comes back once.
constexpr duration patience{1600};
constexpr duration return_time{500};
/// Callers that ask for an adapter for this long are to be served.
constexpr duration longest_starvation{8000};
constexpr std::size_t most_starved = 1 + adapter_count / 10;
constexpr duration played{30000};
const model_id model("m");

std::string adapter_name(std::size_t index)
{
    return "a" + std::to_string(index);
}

/// An engine that drops an adapter only once no request uses it, and takes no
/// order meanwhile.
class engine
{
public:
    explicit engine(time_point now) : now_(now) {}

    void advance(time_point now)
    {
        now_ = now;
        if (!leaving_.empty() && !in_use(leaving_)) {
            held_.erase(leaving_);
            leaving_.clear();
        }
    }

    engine_answer take(const engine_command& order)
    {
        CPPUNIT_ASSERT(!order.adapter.empty());
        if (order.expected_sequence != sequence_ || !leaving_.empty())
            return engine_answer::busy;
        ++sequence_;
        if (order.kind == order_kind::load) {
            held_.insert(order.adapter);
            CPPUNIT_ASSERT(held_.size() <= places);
            return engine_answer::accepted;
        }
        if (in_use(order.adapter)) {
            leaving_ = order.adapter;
            return engine_answer::accepted;
        }
        held_.erase(order.adapter);
        return engine_answer::holds;
    }

    /// False where the adapter is not there, or is about to go.
    bool run(const std::string& adapter, duration time)
    {
        if (!held_.contains(adapter) || adapter == leaving_)
            return false;
        auto& until = runs_[adapter];
        until = std::max(until, now_ + time);
        return true;
    }

    std::vector<std::string> used() const
    {
        std::vector<std::string> adapters;
        for (const auto& [adapter, until] : runs_)
            if (now_ < until)
                adapters.push_back(adapter);
        return adapters;
    }

    held_state held() const
    {
        held_state state;
        state.started_ms = 1;
        state.models.push_back({model, true, {held_.begin(), held_.end()}});
        return state;
    }

    engine_word word() const
    {
        return {held(), sequence_, !leaving_.empty()};
    }

private:
    bool in_use(const std::string& adapter) const
    {
        const auto found = runs_.find(adapter);
        return found != runs_.end() && now_ < found->second;
    }

    time_point now_;
    std::uint64_t sequence_ = 0;
    std::set<std::string> held_;
    std::string leaving_;
    /// Until when requests use each adapter.
    std::map<std::string, time_point> runs_;
};

engine_options make_engine()
{
    engine_options options;
    options.memory_mb = 1000;
    options.max_adapters = places;
    options.loads_per_second = 1.0;
    engine_model declared;
    declared.id = model;
    declared.memory_mb = 100;
    declared.load_time = duration{2000};
    declared.adapters = adapter_count;
    declared.adapter_mb = 10;
    options.models.push_back(std::move(declared));
    return options;
}

/// Callers ask for each adapter about each 4 s; most runs take a second,
/// one in eight takes six.
class adapter_replay
{
public:
    explicit adapter_replay(std::uint64_t seed)
        : random_(seed),
          controller_(make_engine(), placement_options{}, previous_holder{})
    {
        for (std::size_t s = 0; s < server_count; ++s) {
            backend_state state;
            state.entry.id = server_id("s" + std::to_string(s));
            state.entry.held = engine(now_).held();
            states_.push_back(state);
            engines_.emplace(state.entry.id, engine(now_));
        }
    }

    void play()
    {
        const auto end = now_ + played;
        while (now_ < end) {
            now_ += tick;
            for (auto& [id, server] : engines_)
                server.advance(now_);
            if ((now_ - time_point{}) % news_interval == duration{0})
                tell_uses();
            call();
            order();
        }
    }

    std::size_t never_served() const
    {
        return asked_for_.size() - served_.size();
    }

    /// Adapters that callers asked for in vain for longer than is allowed.
    std::size_t starved() const
    {
        return starved_.size();
    }

private:
    /// What the callers' daemon says of its requests.
    void tell_uses()
    {
        std::vector<adapter_use> uses;
        for (const auto& [id, server] : engines_)
            for (const auto& adapter : server.used())
                uses.push_back(make_adapter_use(id, model, adapter));
        controller_.tell_uses(instance_id("d"), uses, now_);
    }

    struct waiting_call
    {
        std::string adapter;
        duration run_time{0};
        time_point comes_at{};
        bool came_back = false;
    };

    void call()
    {
        std::uniform_int_distribution<int> often(0, 79);
        std::uniform_int_distribution<int> kinds(0, 7);
        for (std::size_t i = 0; i < adapter_count; ++i) {
            if (often(random_) != 0)
                continue;
            const auto adapter = adapter_name(i);
            controller_.used_adapter(model, adapter, now_);
            asked_.try_emplace(adapter, now_);
            asked_for_.insert(adapter);
            waiting_.push_back(
                {adapter,
                 kinds(random_) == 0 ? duration{6000} : duration{1000},
                 now_});
        }
        std::erase_if(waiting_,
                      [this](auto& waiting) { return ends(waiting); });
        for (const auto& [adapter, since] : asked_)
            if (now_ - since > longest_starvation)
                starved_.insert(adapter);
    }

    bool ends(waiting_call& waiting)
    {
        if (now_ < waiting.comes_at)
            return false;
        if (is_served(waiting))
            return true;
        if (now_ < waiting.comes_at + patience)
            return false;
        waiting.comes_at = now_ + return_time;
        return std::exchange(waiting.came_back, true);
    }

    bool is_served(const waiting_call& waiting)
    {
        for (auto& [id, server] : engines_) {
            const auto shown = controller_.published(id, now_);
            const auto* held = shown ? shown->find(model) : nullptr;
            if (held == nullptr || !held->has_adapter(waiting.adapter) ||
                !server.run(waiting.adapter, waiting.run_time))
                continue;
            asked_.erase(waiting.adapter);
            served_.insert(waiting.adapter);
            return true;
        }
        controller_.need_adapter(model, waiting.adapter, now_);
        return false;
    }

    void order()
    {
        std::vector<const backend_state*> views;
        for (const auto& state : states_)
            views.push_back(&state);
        controller_.observe(views, now_);
        for (const auto& action : controller_.collect(now_)) {
            auto& server = engines_.at(action.server);
            if (action.kind == placement_action::what::report)
                controller_.on_report(action.server, server.word(), now_);
            else
                controller_.on_answer(action.server,
                                      action.command,
                                      server.take(action.command),
                                      now_);
        }
    }

    time_point now_{duration{100000}};
    std::mt19937_64 random_;
    std::vector<backend_state> states_;
    std::map<server_id, engine> engines_;
    placement_controller controller_;
    std::vector<waiting_call> waiting_;
    /// Since when callers ask for each adapter in vain.
    std::map<std::string, time_point> asked_;
    std::set<std::string> asked_for_;
    std::set<std::string> served_;
    std::set<std::string> starved_;
};

} // namespace

class adapter_replay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(adapter_replay_test);
    CPPUNIT_TEST(every_adapter_that_is_asked_for_is_served);
    CPPUNIT_TEST_SUITE_END();

public:
    void every_adapter_that_is_asked_for_is_served()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            adapter_replay replay(seed);
            replay.play();
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, replay.never_served());
            CPPUNIT_ASSERT(replay.starved() <= most_starved);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(adapter_replay_test);

} // namespace barleyfork
