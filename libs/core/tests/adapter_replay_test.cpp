/// Guards against starvation of adapters: callers continuously request many
/// adapters of a model that is resident on few servers, as in the generated
/// scenario fresh-e862 of gosleid.

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

constexpr std::size_t max_adapters_per_server = 5;
constexpr std::size_t server_count = 2;
constexpr std::size_t adapter_count = 31;
constexpr duration tick{50};
constexpr duration peer_update_interval{200};
/// A call waits this long for its adapter and is then rejected. It is retried
/// once, after the retry delay.
constexpr duration call_timeout{1600};
constexpr duration retry_delay{500};
/// The maximum time for which callers may request an adapter in vain.
constexpr duration max_starvation{8000};
constexpr std::size_t max_starved_adapters = 1 + adapter_count / 10;
constexpr duration replay_time{30000};
const model_id model("m");

std::string adapter_name(std::size_t index)
{
    return "a" + std::to_string(index);
}

/// An engine that unloads an adapter only once no request uses it, and accepts
/// no other order until then.
class engine
{
public:
    explicit engine(time_point now) : now_(now) {}

    void advance(time_point now)
    {
        now_ = now;
        if (!unloading_.empty() && !in_use(unloading_)) {
            resident_.erase(unloading_);
            unloading_.clear();
        }
    }

    engine_answer handle(const engine_command& order)
    {
        CPPUNIT_ASSERT(!order.adapter.empty());
        if (order.expected_sequence != sequence_ || !unloading_.empty())
            return engine_answer::busy;
        ++sequence_;
        if (order.kind == order_kind::load) {
            resident_.insert(order.adapter);
            CPPUNIT_ASSERT(resident_.size() <= max_adapters_per_server);
            return engine_answer::accepted;
        }
        if (in_use(order.adapter)) {
            unloading_ = order.adapter;
            return engine_answer::accepted;
        }
        resident_.erase(order.adapter);
        return engine_answer::holds;
    }

    /// Starts a request; returns false if the adapter is not resident or its
    /// unload is in progress.
    bool run(const std::string& adapter, duration time)
    {
        if (!resident_.contains(adapter) || adapter == unloading_)
            return false;
        auto& until = busy_until_[adapter];
        until = std::max(until, now_ + time);
        return true;
    }

    std::vector<std::string> used_adapters() const
    {
        std::vector<std::string> adapters;
        for (const auto& [adapter, until] : busy_until_)
            if (now_ < until)
                adapters.push_back(adapter);
        return adapters;
    }

    resident_state state() const
    {
        resident_state result;
        result.started_ms = 1;
        result.models.push_back(
            {model, true, {resident_.begin(), resident_.end()}});
        return result;
    }

    engine_snapshot report() const
    {
        return {state(), sequence_, !unloading_.empty()};
    }

private:
    bool in_use(const std::string& adapter) const
    {
        const auto found = busy_until_.find(adapter);
        return found != busy_until_.end() && now_ < found->second;
    }

    time_point now_;
    std::uint64_t sequence_ = 0;
    std::set<std::string> resident_;
    std::string unloading_;
    /// When the last request of each adapter ends.
    std::map<std::string, time_point> busy_until_;
};

engine_options make_engine()
{
    engine_options options;
    options.memory_mb = 1000;
    options.max_adapters = max_adapters_per_server;
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

/// Callers request each adapter about every 4 s. Most requests take 1 s, one in
/// eight takes 6 s.
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
            state.entry.held = engine(now_).state();
            states_.push_back(state);
            engines_.emplace(state.entry.id, engine(now_));
        }
    }

    void run()
    {
        const auto end = now_ + replay_time;
        while (now_ < end) {
            now_ += tick;
            for (auto& [id, server] : engines_)
                server.advance(now_);
            if ((now_ - time_point{}) % peer_update_interval == duration{0})
                report_uses();
            call_adapters();
            run_controller();
        }
    }

    std::size_t never_served() const
    {
        return requested_.size() - served_.size();
    }

    /// Number of adapters that callers requested in vain for longer than the
    /// maximum.
    std::size_t starved() const
    {
        return starved_.size();
    }

private:
    /// Reports the adapter uses of the callers' daemon.
    void report_uses()
    {
        std::vector<adapter_use> uses;
        for (const auto& [id, server] : engines_)
            for (const auto& adapter : server.used_adapters())
                uses.push_back(make_adapter_use(id, model, adapter));
        controller_.record_adapter_uses(instance_id("d"), uses, now_);
    }

    struct waiting_call
    {
        std::string adapter;
        duration run_time{0};
        time_point starts_at{};
        bool was_retried = false;
    };

    void call_adapters()
    {
        std::uniform_int_distribution<int> call_odds(0, 79);
        std::uniform_int_distribution<int> run_time_odds(0, 7);
        for (std::size_t i = 0; i < adapter_count; ++i) {
            if (call_odds(random_) != 0)
                continue;
            const auto adapter = adapter_name(i);
            controller_.used_adapter(model, adapter, now_);
            unserved_since_.try_emplace(adapter, now_);
            requested_.insert(adapter);
            waiting_calls_.push_back(
                {adapter,
                 run_time_odds(random_) == 0 ? duration{6000} : duration{1000},
                 now_});
        }
        std::erase_if(waiting_calls_,
                      [this](auto& waiting) { return is_finished(waiting); });
        for (const auto& [adapter, since] : unserved_since_)
            if (now_ - since > max_starvation)
                starved_.insert(adapter);
    }

    bool is_finished(waiting_call& waiting)
    {
        if (now_ < waiting.starts_at)
            return false;
        if (try_serve(waiting))
            return true;
        if (now_ < waiting.starts_at + call_timeout)
            return false;
        waiting.starts_at = now_ + retry_delay;
        return std::exchange(waiting.was_retried, true);
    }

    bool try_serve(const waiting_call& waiting)
    {
        for (auto& [id, server] : engines_) {
            const auto published = controller_.published(id, now_);
            const auto* held = published ? published->find(model) : nullptr;
            if (held == nullptr || !held->has_adapter(waiting.adapter) ||
                !server.run(waiting.adapter, waiting.run_time))
                continue;
            unserved_since_.erase(waiting.adapter);
            served_.insert(waiting.adapter);
            return true;
        }
        controller_.add_adapter_request(model, waiting.adapter, now_);
        return false;
    }

    void run_controller()
    {
        std::vector<const backend_state*> views;
        for (const auto& state : states_)
            views.push_back(&state);
        controller_.observe(views, now_);
        for (const auto& action : controller_.collect(now_)) {
            auto& server = engines_.at(action.server);
            if (action.kind == placement_action::what::report)
                controller_.on_report(action.server, server.report(), now_);
            else
                controller_.on_answer(action.server,
                                      action.command,
                                      server.handle(action.command),
                                      now_);
        }
    }

    time_point now_{duration{100000}};
    std::mt19937_64 random_;
    std::vector<backend_state> states_;
    std::map<server_id, engine> engines_;
    placement_controller controller_;
    std::vector<waiting_call> waiting_calls_;
    /// When callers first requested each adapter that is not yet served.
    std::map<std::string, time_point> unserved_since_;
    std::set<std::string> requested_;
    std::set<std::string> served_;
    std::set<std::string> starved_;
};

} // namespace

class adapter_replay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(adapter_replay_test);
    CPPUNIT_TEST(every_requested_adapter_is_served);
    CPPUNIT_TEST_SUITE_END();

public:
    void every_requested_adapter_is_served()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            adapter_replay replay(seed);
            replay.run();
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, replay.never_served());
            CPPUNIT_ASSERT(replay.starved() <= max_starved_adapters);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(adapter_replay_test);

} // namespace barleyfork
