#ifndef BARLEYFORK_CORE_PLACEMENT_CONTROLLER_HPP
#define BARLEYFORK_CORE_PLACEMENT_CONTROLLER_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/core/adapter_use.hpp>
#include <barleyfork/core/backend_directory.hpp>
#include <barleyfork/core/demand_estimator.hpp>
#include <barleyfork/core/gateway_configuration.hpp>
#include <barleyfork/core/holder_change.hpp>
#include <barleyfork/core/placement_planner.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace barleyfork {

/// Under which lease an order is given.
struct order_sender
{
    /// The instance that holds the lease.
    std::string holder;
    /// The lease's epoch.
    std::uint64_t fence = 0;
};

/// One order to an engine that takes its orders in a counted sequence.
struct engine_command
{
    order_kind kind = order_kind::load;
    model_id model;
    /// An adapter of the model; empty where the model itself is meant.
    std::string adapter;
    /// The engine takes the order only while it has accepted so many before.
    std::uint64_t expected_sequence = 0;
};

/// What an engine said to an order.
enum class engine_answer : std::uint8_t
{
    /// It is being carried out.
    accepted,
    /// It held already, or was done at once.
    holds,
    /// Another order is under way, or the sequence has moved on.
    busy,
    /// A newer holder gave orders.
    stale_fence,
    /// The engine does not know such an order.
    invalid,
    /// Another process answered.
    wrong_server,
    /// Nothing was sent.
    not_sent,
    /// No answer came; the order may be carried out at any time.
    unknown,
};

/// What an engine says of itself when it is asked.
struct engine_word
{
    held_state held;
    /// Orders that the process has accepted.
    std::uint64_t sequence = 0;
    /// An order is being carried out.
    bool busy = false;
};

/// What the controller asks its duty to do.
struct placement_action
{
    enum class what : std::uint8_t
    {
        order,
        report,
    };

    what kind = what::order;
    server_id server;
    /// For an order.
    engine_command command;
    /// Why, for the log.
    const char* reason = "";
};

/// Limits of one holder's orders.
struct placement_options
{
    planner_options planner;
    /// How often placement is planned anew.
    duration interval{250};
    /// The weight store's bound holds over any span of this length.
    duration load_window{5000};
    /// How long a change on a server takes at most to show in the list.
    duration list_lag{2500};
    /// An order without an answer may still be carried out this long after.
    duration late_order_life{15000};
    /// A server takes no order sooner than this after one of another holder.
    duration holder_gap{3300};
    /// Daemons have heard of news, and were heard again, after this.
    duration news_round{500};
};

/// Decides the orders of all backend servers of one engine service, under a
/// lease that the duty checks before it sends each order.
///
/// Every order names the sequence that the engine must still have, so of
/// several that wait for one place in the sequence at most one is carried
/// out. Invariant: a load is ordered only if the server's memory holds what
/// it has, every load that may still act, room for all adapters, and the new
/// model. Not thread-safe; lives for one holding of the lease.
class placement_controller
{
public:
    placement_controller(engine_options engine,
                         placement_options options,
                         const previous_holder& previous);

    /// Plans no more often than this from now on.
    void set_interval(duration interval) noexcept
    {
        options_.interval = interval;
    }

    /// Takes over a new declaration of the engine.
    void set_engine(engine_options engine);

    /// Takes in the service's servers as the list has them.
    void observe(std::span<const backend_state* const> servers, time_point now);

    /// Work that callers asked of a model, in server-seconds.
    void add_demand(const model_id& model, double work);

    /// Callers wait for an adapter that no server holds.
    void need_adapter(const model_id& model,
                      const std::string& adapter,
                      time_point now);

    /// An adapter serves requests: it is not to make way soon.
    void used_adapter(const model_id& model,
                      const std::string& adapter,
                      time_point now);

    /// Which adapters a daemon's requests use now.
    void tell_uses(const instance_id& daemon,
                   std::span<const adapter_use> uses,
                   time_point now);

    /// What is to be done now. An order's answer must be given to `on_answer`
    /// before the server gets another.
    std::vector<placement_action> collect(time_point now);

    void on_answer(const server_id& server,
                   const engine_command& command,
                   engine_answer answer,
                   time_point now);

    void
    on_report(const server_id& server, const engine_word& word, time_point now);

    /// What a server holds, for daemons; null where it is not known. Models
    /// that are to go are not ready any more.
    std::optional<held_state> published(const server_id& server,
                                        time_point now) const;

    /// The demand for a model, in server-seconds a second, and how many
    /// servers hold it.
    struct model_demand
    {
        model_id model;
        double demand = 0.0;
        std::size_t replicas = 0;
    };

    /// All models that callers ask for.
    std::vector<model_demand> demand() const;

    /// The orders that bind the next holder.
    past_orders recent_orders(time_point now) const;

    /// Servers whose `published` changed since the last call.
    std::vector<server_id> take_changed(time_point now);

private:
    struct running_order
    {
        engine_command command;
        /// The sequence once it was accepted.
        std::uint64_t sequence = 0;
        time_point probe_at{};
        bool from_store = false;
    };

    struct unsettled_load
    {
        engine_command command;
        time_point until{};
    };

    struct closing_model
    {
        model_id model;
        time_point order_at{};
        const char* reason = "";
    };

    struct reserved_room
    {
        model_id model;
        time_point until{};
    };

    struct coming_adapter
    {
        model_id model;
        std::string adapter;
        time_point ready_at{};
    };

    using adapter_key = std::pair<model_id, std::string>;

    /// Callers wait for an adapter that no server holds.
    struct adapter_need
    {
        /// The first and the last request that it kept waiting.
        time_point since{};
        time_point asked_at{};
    };

    /// An adapter that may make way; the smaller, the sooner.
    struct adapter_victim
    {
        bool in_use = false;
        time_point since{};
        adapter_key key;

        friend auto operator<=>(const adapter_victim&,
                                const adapter_victim&) = default;
    };

    /// An adapter that gets no further requests, so that its unload need not
    /// wait for one.
    struct leaving_adapter
    {
        adapter_key key;
        time_point since{};
        const char* reason = "";
    };

    struct engine_server
    {
        failure_domain_id failure_domain;
        bool usable = true;
        /// Another holder gave it an order a short time ago.
        bool held_back = false;
        /// False until the list told of it for the first time.
        bool known = false;
        held_state held;
        /// Orders that the process has accepted; known from its own word.
        std::optional<std::uint64_t> sequence;
        /// When an order or report last told what it holds.
        time_point told_at{};
        std::vector<model_id> in_memory;
        std::vector<model_id> on_disk;
        bool awaiting_answer = false;
        /// The adapter whose load awaits its answer.
        std::optional<adapter_key> asked_for;
        std::optional<running_order> running;
        /// Models that are to go, in the order of their unloads.
        std::deque<closing_model> closing;
        /// What is to be loaded once there is room.
        std::optional<reserved_room> reserved;
        std::optional<time_point> probe_at;
        /// An order's end is not known: nothing else is ordered before the
        /// engine's own word.
        bool uncertain = false;
        std::vector<unsettled_load> unsettled;
        std::vector<coming_adapter> coming;
        /// Adapters that are to be unloaded.
        std::vector<leaving_adapter> leaving;
        /// Adapters whose unload waits for their requests to end.
        std::vector<adapter_key> going;
        bool changed = true;
        time_point published_at{};
    };

    using actions = std::vector<placement_action>;

    const engine_model* model_of(const model_id& id) const;
    std::uint64_t adapter_reserve() const;
    std::uint64_t committed_mb(const engine_server& server) const;
    std::size_t adapters_on(const engine_server& server) const;
    bool is_idle(const engine_server& server) const;
    static bool is_closing(const engine_server& server, const model_id& model);
    bool takes_load(const engine_server& server, const model_id& model) const;
    bool is_at_hand(const engine_server& server, const model_id& model) const;
    duration load_time(const engine_server& server,
                       const model_id& model) const;
    std::size_t store_loads_running() const;
    std::uint32_t load_budget(time_point now);
    void settle(engine_server& server, time_point now);
    bool is_held_back(const server_id& id, time_point now) const;
    void adopt(engine_server& server, const held_state& held, time_point now);
    void
    begin_anew(engine_server& server, const held_state& held, time_point now);

    planner_input make_input(time_point now);
    planner_server make_server(const server_id& id,
                               const engine_server& server) const;
    void plan(time_point now, actions& out);
    void take_step(const planned_step& step, time_point now, actions& out);
    void collect_reserved(time_point now, actions& out);
    bool order_load(const server_id& id,
                    engine_server& server,
                    const model_id& model,
                    const char* reason,
                    time_point now,
                    actions& out);
    void collect_closings(time_point now, actions& out);
    void collect_probes(time_point now, actions& out);
    void collect_adapters(time_point now, actions& out);
    void collect_leaving(time_point now, actions& out);
    bool is_asked_for(const adapter_key& key) const;
    bool place_adapter(const adapter_key& key, time_point now, actions& out);
    bool takes_adapter_orders(const engine_server& server,
                              const model_id& model) const;
    std::size_t places_made(const model_id& model, time_point now) const;
    void
    make_adapter_room(const model_id& model, bool for_starving, time_point now);
    std::optional<adapter_victim> oldest_adapter(const server_id& id,
                                                 const engine_server& server,
                                                 bool for_starving,
                                                 time_point now) const;
    void order(const server_id& id,
               engine_server& server,
               engine_command command,
               const char* reason,
               time_point now,
               actions& out);
    static void doubt(engine_server& server, time_point probe_at);
    void on_accepted(engine_server& server,
                     const engine_command& command,
                     time_point now);
    void on_model_accepted(engine_server& server,
                           const engine_command& command,
                           time_point now);
    static bool is_going(const engine_server& server, const adapter_key& key);
    bool
    is_used(const server_id& id, const adapter_key& key, time_point now) const;
    bool has_left(const server_id& id,
                  const leaving_adapter& leaving,
                  time_point now) const;
    void on_adapter_going(engine_server& server,
                          const engine_command& command,
                          time_point now);
    void on_adapter_done(engine_server& server,
                         const engine_command& command,
                         time_point now);

    engine_options engine_;
    placement_options options_;
    /// Until then loads of an earlier holder may count that are not known.
    time_point unknown_loads_until_{};
    std::optional<time_point> planned_at_;
    std::map<server_id, engine_server> servers_;
    std::map<model_id, double> work_;
    std::map<model_id, demand_estimator> demand_;
    std::map<adapter_key, adapter_need> needs_;
    /// When each adapter was last used and last given a place.
    std::map<adapter_key, time_point> used_;
    std::map<adapter_key, time_point> placed_;
    told_uses running_;
    std::deque<time_point> store_loads_;
    /// When each server was given its last order, by any holder.
    std::map<server_id, time_point> ordered_at_;
    /// From when servers take this holder's orders, where that is not at once.
    std::map<server_id, time_point> orders_from_;
};

} // namespace barleyfork

#endif
