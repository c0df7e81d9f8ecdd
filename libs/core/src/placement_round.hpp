#ifndef BARLEYFORK_CORE_SRC_PLACEMENT_ROUND_HPP
#define BARLEYFORK_CORE_SRC_PLACEMENT_ROUND_HPP

#include "demand_spread.hpp"

#include <barleyfork/core/placement_planner.hpp>

#include <limits>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace barleyfork {

/// One planning round over a private copy of the input.
///
/// Each accepted step is applied to the copy, so that later steps of the round
/// take it into account: a planned load occupies its memory and counts as
/// changing; a planned unload no longer serves but still occupies its memory.
class placement_round
{
public:
    explicit placement_round(planner_input input);

    /// Runs all stages in the order of urgency and returns the planned steps.
    std::vector<planned_step> run();

private:
    struct replica_count
    {
        std::size_t ready = 0;
        std::size_t ready_current = 0;
        std::size_t loading_current = 0;
    };

    /// A load, and the replicas on its server that must be unloaded for it.
    struct load_choice
    {
        std::size_t model = 0;
        std::size_t server = 0;
        std::vector<std::size_t> victims;
        /// Server-seconds of work gained, less the cost of the moves.
        double value = 0.0;
    };

    /// The first of the steps after which a server holds no last replica that
    /// keeps it from serving a model: the last replica is loaded elsewhere.
    struct relocation
    {
        load_choice first;
        /// The model that is short of capacity.
        std::size_t model = 0;
        /// The server that can serve it afterwards.
        std::size_t server = 0;
        /// Server-seconds of work gained, less the cost of the moves.
        double value = 0.0;
    };

    /// A server that serves a model once earlier steps have made it available.
    struct promised_server
    {
        std::size_t server = 0;
        std::size_t model = 0;
    };

    /// The probability that a model's demand reaches its potential within the
    /// horizon.
    static constexpr double burst_chance = 0.1;

    void repair_reachability();
    void roll_out_versions();
    void repair_min_replicas();
    void spread_domains();
    void follow_demand();
    void fill_idle_memory();
    void remove_obsolete_replicas();

    using domain_counts = std::map<failure_domain_id, std::size_t>;
    static constexpr std::size_t undeclared =
        std::numeric_limits<std::size_t>::max();

    void index_models();
    void index_replicas(std::size_t server);
    void add_to_count(std::size_t server,
                      const planner_replica& replica,
                      std::size_t model,
                      int change);
    const replica_count& count(std::size_t model) const;
    bool has_replica(std::size_t server, std::size_t model) const;
    domain_counts replicas_by_domain(std::size_t model) const;
    std::uint64_t free_mib(std::size_t server) const;
    std::uint64_t needed_mib(std::size_t server, std::size_t model) const;

    std::optional<std::size_t> best_free_server(std::size_t model) const;
    std::vector<std::size_t>
    models_by_need(const std::vector<double>& need) const;
    std::vector<load_choice> best_ranked_choices(std::size_t model,
                                                 bool may_evict) const;
    std::optional<load_choice> best_choice(std::span<const std::size_t> models,
                                           bool may_evict);
    std::optional<std::vector<std::size_t>>
    choose_victims(std::size_t server, std::uint64_t needed_mib) const;
    std::optional<double> eviction_loss(std::size_t server,
                                        std::size_t index) const;
    double total_unserved_with(const serving_servers& serving) const;
    double evaluate(const load_choice& choice);
    double potential_change(std::size_t model, int replicas) const;
    const planner_weight_copy* find_copy(std::size_t server,
                                         std::size_t model) const;
    bool may_load_on(std::size_t server, std::size_t model) const;
    double load_seconds(const load_choice& choice) const;
    bool has_change_in_progress(std::size_t server) const;
    void update_estimate();

    bool is_last_replica(std::size_t server, std::size_t index) const;
    bool is_being_vacated(std::size_t server) const;
    bool is_promised(std::size_t server) const;
    void promise(std::size_t server, std::size_t model);
    void promise_vacated_servers();
    std::vector<std::size_t> blocked_servers(std::size_t model) const;
    std::vector<relocation> relocations(std::size_t model,
                                        std::size_t server) const;
    double evaluate(const relocation& candidate) const;
    std::optional<relocation>
    best_relocation(std::span<const std::size_t> models) const;

    bool load_with_room(std::size_t model, step_reason reason);
    void load(std::size_t server, std::size_t model, step_reason reason);
    void unload(std::size_t server,
                std::size_t replica,
                step_reason reason,
                const model_id& room_for);
    void apply_choice(const load_choice& choice, step_reason reason);

    planner_input input_;
    serving_servers serving_;
    load_estimate estimate_;
    double total_unserved_ = 0.0;
    std::unordered_map<model_id, std::size_t> model_index_;
    /// The index of the model of each replica, by server.
    std::vector<std::vector<std::size_t>> replica_models_;
    /// Replicas of each model on usable servers.
    std::vector<replica_count> counts_;
    std::vector<promised_server> promised_;
    std::uint32_t remaining_loads_ = 0;
    std::uint32_t remaining_store_loads_ = 0;
    std::vector<planned_step> steps_;
};

} // namespace barleyfork

#endif
