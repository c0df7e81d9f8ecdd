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

/// The lease under which an order is sent.
struct order_sender
{
    /// The instance that holds the lease.
    std::string holder;
    /// The epoch of the lease.
    std::uint64_t fence = 0;
};

/// An order to an engine that numbers the orders it accepts.
struct engine_command
{
    order_kind kind = order_kind::load;
    model_id model;
    /// An adapter of the model; empty if the order is for the model itself.
    std::string adapter;
    /// The engine accepts the order only if this equals the number of orders
    /// that it has accepted so far.
    std::uint64_t expected_sequence = 0;
};

/// The response of an engine to an order.
enum class engine_answer : std::uint8_t
{
    /// The order is being carried out.
    accepted,
    /// The engine was already in the ordered state, or reached it at once.
    holds,
    /// Another order is in progress, or the sequence has advanced.
    busy,
    /// A newer lease holder has sent orders.
    stale_fence,
    /// The engine does not support the order.
    invalid,
    /// Another process responded.
    wrong_server,
    /// The order was not sent, or the engine did not take it up.
    not_sent,
    /// No response arrived; the order may be carried out at any time.
    unknown,
};

/// The state that an engine reports on request.
struct engine_snapshot
{
    resident_state held;
    /// Number of orders that the process has accepted.
    std::uint64_t sequence = 0;
    /// Whether an order is being carried out.
    bool busy = false;
};

/// An action that the controller requests from its worker.
struct placement_action
{
    enum class what : std::uint8_t
    {
        order,
        report,
    };

    what kind = what::order;
    server_id server;
    /// The command of an order; unused for a report.
    engine_command command;
    /// The reason for the order, for the log.
    const char* reason = "";
};

/// Limits and intervals for the orders of one holder.
struct placement_options
{
    planner_options planner;
    /// The minimum time between planning rounds.
    duration interval{250};
    /// Any window of this length is subject to the weight store's load limit.
    duration load_window{5000};
    /// The maximum time until a change on a server appears in the list.
    duration max_list_lag{2500};
    /// How long after it was sent an order without a response may still be
    /// carried out.
    duration late_order_lifetime{15000};
    /// Minimum time between the orders of two holders to one server.
    duration min_holder_gap{3300};
    /// The time after which all daemons have received an update and their next
    /// messages have arrived.
    duration update_round_trip{500};
};

/// Decides the orders to all backend servers of one engine service, under a
/// lease that the worker checks before it sends each order.
///
/// Every order names the sequence number that the engine must have, so at most
/// one of several orders with the same number is carried out. Invariant: a load
/// is ordered only if the server's memory has room for its resident models,
/// every load that may still take effect, the adapter reserve, and the new
/// model. Not thread-safe. One controller exists per tenure of the lease.
class placement_controller
{
public:
    placement_controller(engine_options engine,
                         placement_options options,
                         const previous_holder& previous);

    /// Sets the minimum time between planning rounds.
    void set_interval(duration interval) noexcept
    {
        options_.interval = interval;
    }

    /// Replaces the engine's declaration.
    void set_engine(engine_options engine);

    /// Updates the service's servers from the list.
    void observe(std::span<const backend_state* const> servers, time_point now);

    /// Sets how much work a listed server can do, in server-seconds per second:
    /// less than 1 while it limits its requests.
    void set_capacity(const server_id& server, double capacity);

    /// Adds work that callers requested of a model, in server-seconds.
    void add_demand(const model_id& model, double work);

    /// Records that a caller waits for an adapter that is not resident on any
    /// server.
    void add_adapter_request(const model_id& model,
                             const std::string& adapter,
                             time_point now);

    /// Records that an adapter serves requests, which protects it from eviction
    /// for a while.
    void used_adapter(const model_id& model,
                      const std::string& adapter,
                      time_point now);

    /// Records the adapters that a daemon's requests currently use.
    void record_adapter_uses(const instance_id& daemon,
                             std::span<const adapter_use> uses,
                             time_point now);

    /// Returns the actions that are due. The response to an order must be
    /// passed to `on_answer`; until then the server gets no other order.
    std::vector<placement_action> collect(time_point now);

    void on_answer(const server_id& server,
                   const engine_command& command,
                   engine_answer answer,
                   time_point now);

    void on_report(const server_id& server,
                   const engine_snapshot& report,
                   time_point now);

    /// Returns the resident models and adapters of a server as published to
    /// daemons, or nothing if the server is not known. Models whose unload is
    /// pending or in progress are not ready.
    std::optional<resident_state> published(const server_id& server,
                                            time_point now) const;

    /// The demand for a model, in server-seconds per second, and the number of
    /// servers on which it is resident.
    struct model_demand
    {
        model_id model;
        double demand = 0.0;
        std::size_t replicas = 0;
    };

    /// Returns the demand of all models that callers request.
    std::vector<model_demand> demand() const;

    /// Returns the orders that restrict the next holder.
    past_orders recent_orders(time_point now) const;

    /// Returns the servers whose published state is to be announced: it changed
    /// since the last call, or its announcement must be repeated.
    std::vector<server_id> take_changed(time_point now);

private:
    struct running_order
    {
        engine_command command;
        /// The engine's sequence number after it accepted the order.
        std::uint64_t sequence = 0;
        time_point next_probe_at{};
        bool uses_store = false;
    };

    struct unsettled_load
    {
        engine_command command;
        time_point until{};
    };

    struct pending_unload
    {
        model_id model;
        time_point order_at{};
        const char* reason = "";
    };

    struct memory_reservation
    {
        model_id model;
        time_point until{};
        /// When it expires though its unloads still wait for requests.
        time_point latest{};
    };

    struct activating_adapter
    {
        model_id model;
        std::string adapter;
        time_point ready_at{};
    };

    using adapter_key = std::pair<model_id, std::string>;

    /// A request for an adapter that is not resident on any server.
    struct adapter_need
    {
        /// The first and the last request that waited for the adapter.
        time_point since{};
        time_point last_requested_at{};
    };

    /// An adapter that may be evicted; smaller values are evicted first.
    struct eviction_candidate
    {
        bool in_use = false;
        time_point since{};
        adapter_key key;

        friend auto operator<=>(const eviction_candidate&,
                                const eviction_candidate&) = default;
    };

    /// An adapter that gets no further requests, so that its unload does not
    /// have to wait for running ones.
    struct draining_adapter
    {
        adapter_key key;
        time_point since{};
        const char* reason = "";
    };

    struct engine_server
    {
        failure_domain_id failure_domain;
        /// Work that it can do, in server-seconds per second.
        double capacity = 1.0;
        bool usable = true;
        /// Whether orders must wait: another holder sent one a short time ago,
        /// the server rejects requests, or the last order was not sent.
        bool is_held_back = false;
        bool rejects_requests = false;
        /// End of the pause after an order that was not sent.
        time_point order_pause_until{};
        /// Whether the server has appeared in the list.
        bool has_listed_state = false;
        resident_state held;
        /// Number of orders that the process has accepted; set from its own
        /// reports and responses.
        std::optional<std::uint64_t> sequence;
        /// When an order or report last confirmed its resident models.
        time_point confirmed_at{};
        std::vector<model_id> in_memory;
        std::vector<model_id> on_disk;
        bool awaiting_answer = false;
        /// The adapter whose load order awaits a response.
        std::optional<adapter_key> pending_adapter_load;
        std::optional<running_order> running;
        /// Models to be unloaded, in order.
        std::deque<pending_unload> pending_unloads;
        /// The model to be loaded once there is room.
        std::optional<memory_reservation> reservation;
        std::optional<time_point> next_probe_at;
        /// Whether the outcome of an order is unknown; no other order is sent
        /// before the engine's own report.
        bool uncertain = false;
        std::vector<unsettled_load> unsettled_loads;
        std::vector<activating_adapter> activating_adapters;
        /// Adapters that get no further requests and are to be unloaded.
        std::vector<draining_adapter> draining_adapters;
        /// Adapters whose unload was accepted and waits for their requests to
        /// end.
        std::vector<adapter_key> unloading_adapters;
        bool needs_publishing = true;
        time_point last_published_at{};
    };

    using actions = std::vector<placement_action>;

    const engine_model* find_model(const model_id& id) const;
    std::uint64_t adapter_reserve_mb() const;
    std::uint64_t committed_mb(const engine_server& server) const;
    std::size_t count_adapters(const engine_server& server) const;
    bool is_idle(const engine_server& server) const;
    static bool is_unload_pending(const engine_server& server,
                                  const model_id& model);
    bool can_load(const engine_server& server, const model_id& model) const;
    bool has_local_copy(const engine_server& server,
                        const model_id& model) const;
    duration load_time(const engine_server& server,
                       const model_id& model) const;
    std::size_t running_store_loads() const;
    std::uint32_t remaining_store_loads(time_point now);
    void remove_settled_loads(engine_server& server, time_point now);
    bool is_in_holder_gap(const server_id& id, time_point now) const;
    static void cancel_removals(engine_server& server);
    void check_listed_state(engine_server& server,
                            const resident_state& held,
                            time_point now);
    void reset_server(engine_server& server,
                      const resident_state& held,
                      time_point now);

    planner_input make_input(time_point now);
    planner_server make_server(const server_id& id,
                               const engine_server& server) const;
    void plan(time_point now, actions& out);
    void apply_step(const planned_step& step, time_point now, actions& out);
    static bool is_making_room(const engine_server& server);
    void collect_reserved_loads(time_point now, actions& out);
    bool order_load(const server_id& id,
                    engine_server& server,
                    const model_id& model,
                    const char* reason,
                    time_point now,
                    actions& out);
    void collect_pending_unloads(time_point now, actions& out);
    void collect_probes(time_point now, actions& out);
    void collect_adapters(time_point now, actions& out);
    void collect_drained_adapters(time_point now, actions& out);
    bool is_adapter_load_pending(const adapter_key& key) const;
    bool place_adapter(const adapter_key& key, time_point now, actions& out);
    bool accepts_adapter_orders(const engine_server& server,
                                const model_id& model) const;
    std::size_t places_being_freed(const model_id& model, time_point now) const;
    void start_adapter_eviction(const model_id& model,
                                bool may_evict_used,
                                time_point now);
    std::optional<eviction_candidate>
    find_eviction_candidate(const server_id& id,
                            const engine_server& server,
                            bool may_evict_used,
                            time_point now) const;
    void order(const server_id& id,
               engine_server& server,
               engine_command command,
               const char* reason,
               time_point now,
               actions& out);
    static void mark_uncertain(engine_server& server, time_point next_probe_at);
    static void pause_orders(engine_server& server, time_point now);
    void on_accepted(engine_server& server,
                     const engine_command& command,
                     time_point now);
    void on_model_accepted(engine_server& server,
                           const engine_command& command,
                           time_point now);
    static bool is_being_removed(const engine_server& server,
                                 const adapter_key& key);
    bool
    is_used(const server_id& id, const adapter_key& key, time_point now) const;
    bool is_drained(const server_id& id,
                    const draining_adapter& entry,
                    time_point now) const;
    void on_adapter_unload_started(engine_server& server,
                                   const engine_command& command,
                                   time_point now);
    void on_adapter_changed(engine_server& server,
                            const engine_command& command,
                            time_point now);

    engine_options engine_;
    placement_options options_;
    /// Until this time unknown loads of an earlier holder may count towards the
    /// weight store's limit.
    time_point unknown_loads_until_{};
    std::optional<time_point> last_planned_at_;
    std::map<server_id, engine_server> servers_;
    std::map<model_id, double> requested_work_;
    std::map<model_id, demand_estimator> demand_estimators_;
    std::map<adapter_key, adapter_need> adapter_needs_;
    /// When each adapter was last used and last loaded.
    std::map<adapter_key, time_point> last_used_at_;
    std::map<adapter_key, time_point> last_placed_at_;
    reported_adapter_uses reported_uses_;
    std::deque<time_point> store_loads_;
    /// When each server received its last order, from any holder.
    std::map<server_id, time_point> last_ordered_at_;
    /// When servers that recently had an order from another holder may get
    /// orders from this one.
    std::map<server_id, time_point> orders_allowed_at_;
};

} // namespace barleyfork

#endif
