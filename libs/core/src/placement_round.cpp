#include "placement_round.hpp"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace barleyfork {

namespace {

/// Less work does not justify a step, in server-seconds per second.
constexpr double negligible_work = 0.02;
/// The demand of a rarely used model may grow by this factor within an hour.
constexpr double burst_factor = 10.0;
/// Models evaluated for one step.
constexpr std::size_t max_evaluated_models = 4;
/// Best-ranked servers evaluated for each model of one step.
constexpr std::size_t max_evaluated_servers = 8;
/// Limits on the steps of one round for demand and for spares. Further steps
/// wait for the next round, which knows the effect of these. The limit for
/// demand grows with the number of servers, since demand shifts on more servers
/// at once in larger deployments.
constexpr std::size_t min_demand_steps = 6;
constexpr std::size_t servers_per_demand_step = 16;
constexpr int max_spare_steps = 2;

/// Returns whether an order for the replica was sent that may or may not still
/// take effect.
bool is_unresolved(const planner_replica& replica)
{
    return !replica.ready && !replica.changing;
}

bool has_unload_in_progress(const planner_server& server)
{
    return std::any_of(server.replicas.begin(),
                       server.replicas.end(),
                       [](const auto& replica) { return replica.unloading; });
}

} // namespace

placement_round::placement_round(planner_input input)
    : input_(std::move(input)), remaining_loads_(input_.options.max_loads),
      remaining_store_loads_(input_.options.max_store_loads)
{
    index_models();
    for (std::size_t s = 0; s < input_.servers.size(); ++s)
        index_replicas(s);
    update_estimate();
    // A load waits for each unload in progress, so the loads of these servers
    // are deducted now.
    const auto unloading_servers = std::count_if(
        input_.servers.begin(), input_.servers.end(), has_unload_in_progress);
    remaining_loads_ -= std::min(remaining_loads_,
                                 static_cast<std::uint32_t>(unloading_servers));
}

std::vector<planned_step> placement_round::run()
{
    using stage = void (placement_round::*)();
    constexpr stage stages[] = {&placement_round::repair_reachability,
                                &placement_round::roll_out_versions,
                                &placement_round::repair_min_replicas,
                                &placement_round::follow_demand,
                                &placement_round::spread_domains,
                                &placement_round::fill_idle_memory,
                                &placement_round::remove_obsolete_replicas};
    for (const auto run_stage : stages)
        (this->*run_stage)();
    return std::move(steps_);
}

void placement_round::index_models()
{
    for (std::size_t m = 0; m < input_.models.size(); ++m)
        model_index_.emplace(input_.models[m].id, m);
    counts_.resize(input_.models.size());
    replica_models_.resize(input_.servers.size());
}

/// Resolves the model of each replica to its index and counts the replicas.
void placement_round::index_replicas(std::size_t server)
{
    for (const auto& replica : input_.servers[server].replicas) {
        const auto found = model_index_.find(replica.model);
        const auto model =
            found == model_index_.end() ? undeclared : found->second;
        replica_models_[server].push_back(model);
        add_to_count(server, replica, model, 1);
    }
}

/// Adds (1) or removes (-1) a replica from the counts if its server is usable.
void placement_round::add_to_count(std::size_t server,
                                   const planner_replica& replica,
                                   std::size_t model,
                                   int change)
{
    if (model == undeclared || !input_.servers[server].usable)
        return;
    const bool current = replica.version == input_.models[model].version;
    auto& result = counts_[model];
    result.ready += replica.ready ? change : 0;
    result.ready_current += replica.ready && current ? change : 0;
    result.loading_current +=
        !replica.ready && replica.changing && current ? change : 0;
}

const placement_round::replica_count&
placement_round::count(std::size_t model) const
{
    return counts_[model];
}

/// Returns whether the server has a replica of the model's current version that
/// is ready, being loaded or being unloaded.
bool placement_round::has_replica(std::size_t server, std::size_t model) const
{
    const auto& replicas = input_.servers[server].replicas;
    const auto& models = replica_models_[server];
    for (std::size_t r = 0; r < replicas.size(); ++r)
        if (models[r] == model &&
            replicas[r].version == input_.models[model].version &&
            !is_unresolved(replicas[r]))
            return true;
    return false;
}

/// Returns the memory that a load would add; the memory of an unresolved
/// replica is already counted.
std::uint64_t placement_round::needed_mib(std::size_t server,
                                          std::size_t model) const
{
    const auto& declared = input_.models[model];
    const auto& replicas = input_.servers[server].replicas;
    const bool is_counted = std::any_of(
        replicas.begin(), replicas.end(), [&declared](const auto& replica) {
            return replica.model == declared.id &&
                   replica.version == declared.version &&
                   is_unresolved(replica);
        });
    return is_counted ? 0 : declared.memory_mib;
}

/// Returns the number of usable servers with the model, by failure domain.
placement_round::domain_counts
placement_round::replicas_by_domain(std::size_t model) const
{
    domain_counts result;
    for (std::size_t s = 0; s < input_.servers.size(); ++s)
        if (input_.servers[s].usable && has_replica(s, model))
            ++result[input_.servers[s].failure_domain];
    return result;
}

std::uint64_t placement_round::free_mib(std::size_t server) const
{
    const auto& entry = input_.servers[server];
    return entry.memory_mib > entry.committed_mib
               ? entry.memory_mib - entry.committed_mib
               : 0;
}

/// Returns the least loaded server that has room, in a new domain if possible.
std::optional<std::size_t>
placement_round::best_free_server(std::size_t model) const
{
    std::optional<std::size_t> best;
    std::pair<std::size_t, double> best_cost;
    const auto in_domain = replicas_by_domain(model);
    for (std::size_t s = 0; s < input_.servers.size(); ++s) {
        const auto& server = input_.servers[s];
        if (!may_load_on(s, model) || free_mib(s) < needed_mib(s, model))
            continue;
        const auto same = in_domain.find(server.failure_domain);
        const std::pair<std::size_t, double> cost{
            same == in_domain.end() ? 0 : same->second,
            estimate_.server_load[s] / server.capacity -
                1e-6 * static_cast<double>(free_mib(s))};
        if (best && cost >= best_cost)
            continue;
        best = s;
        best_cost = cost;
    }
    return best;
}

/// Returns the models with the highest need, in descending order, without those
/// whose need is negligible or that have their maximum of replicas.
std::vector<std::size_t>
placement_round::models_by_need(const std::vector<double>& need) const
{
    std::vector<std::size_t> order;
    for (std::size_t m = 0; m < need.size(); ++m) {
        if (need[m] < negligible_work)
            continue;
        const auto& replicas = count(m);
        const auto present = replicas.ready_current + replicas.loading_current;
        if (present < input_.models[m].max_replicas)
            order.push_back(m);
    }
    std::stable_sort(order.begin(), order.end(), [&need](auto a, auto b) {
        return need[a] > need[b];
    });
    if (order.size() > max_evaluated_models)
        order.resize(max_evaluated_models);
    return order;
}

/// Returns how much more of the model's potential demand is served with the
/// given number of additional replicas; negative where replicas are removed.
double placement_round::potential_change(std::size_t model, int replicas) const
{
    const auto& declared = input_.models[model];
    const double potential =
        std::max(declared.peak_demand, burst_factor * declared.demand);
    const auto present = count(model);
    const auto now =
        static_cast<double>(present.ready + present.loading_current);
    const auto served = [&](double copies) {
        return std::min(potential, copies * input_.options.target_utilisation);
    };
    return served(now + replicas) - served(now);
}

/// Returns the work that unloading the replica puts at risk, or nothing if the
/// replica must not be unloaded.
std::optional<double> placement_round::eviction_loss(std::size_t server,
                                                     std::size_t index) const
{
    const auto& replica = input_.servers[server].replicas[index];
    if (!replica.ready || replica.changing)
        return std::nullopt;
    const auto model = replica_models_[server][index];
    if (model == undeclared)
        return 0.0;
    const auto& declared = input_.models[model];
    const auto& replicas = count(model);
    if (replicas.ready <= declared.min_replicas)
        return std::nullopt;
    const double share = declared.demand / static_cast<double>(replicas.ready);
    return share - burst_chance * potential_change(model, -1);
}

/// Returns the replicas with the least loss whose unloads free `needed_mib`, or
/// nothing if the server can't free as much.
std::optional<std::vector<std::size_t>>
placement_round::choose_victims(std::size_t server,
                                std::uint64_t needed_mib) const
{
    const auto& replicas = input_.servers[server].replicas;
    std::vector<std::pair<double, std::size_t>> candidates;
    for (std::size_t r = 0; r < replicas.size(); ++r)
        if (const auto loss = eviction_loss(server, r))
            candidates.emplace_back(*loss, r);
    std::sort(candidates.begin(), candidates.end());
    std::vector<std::size_t> victims;
    std::uint64_t freed = free_mib(server);
    for (const auto& [loss, index] : candidates) {
        if (freed >= needed_mib)
            break;
        victims.push_back(index);
        freed += replicas[index].memory_mib;
    }
    if (freed < needed_mib)
        return std::nullopt;
    return victims;
}

bool placement_round::has_change_in_progress(std::size_t server) const
{
    const auto& replicas = input_.servers[server].replicas;
    return std::any_of(
        replicas.begin(), replicas.end(), [](const auto& replica) {
            return replica.changing && !replica.ready;
        });
}

double
placement_round::total_unserved_with(const serving_servers& serving) const
{
    const auto estimate = spread_demand(input_, serving);
    return std::accumulate(
        estimate.unserved.begin(), estimate.unserved.end(), 0.0);
}

/// Returns the gain of the choice over the present placement. The victims stop
/// serving immediately, and the new replica serves only once it is loaded. The
/// cost of the moves and the risk for the victims' models are subtracted.
double placement_round::evaluate(const load_choice& choice)
{
    const auto& options = input_.options;
    double potential = potential_change(choice.model, 1);
    std::vector<std::pair<std::size_t, std::vector<std::size_t>>> before;
    for (const auto victim : choice.victims) {
        const auto model = replica_models_[choice.server][victim];
        if (model == undeclared)
            continue;
        potential += potential_change(model, -1);
        before.emplace_back(model, serving_[model]);
        std::erase(serving_[model], choice.server);
    }
    const double without_victims = choice.victims.empty()
                                       ? total_unserved_
                                       : total_unserved_with(serving_);
    serving_[choice.model].push_back(choice.server);
    const double gain = without_victims - total_unserved_with(serving_);
    serving_[choice.model].pop_back();
    for (auto saved = before.rbegin(); saved != before.rend(); ++saved)
        serving_[saved->first] = std::move(saved->second);
    const double loss = without_victims - total_unserved_;
    const double wait = load_seconds(choice) +
                        (choice.victims.empty() ? 0.0 : options.unload_seconds);
    const double served_seconds = std::max(options.horizon_seconds - wait, 0.0);
    const auto moves = static_cast<double>(1 + choice.victims.size());
    return served_seconds * (gain + burst_chance * potential) -
           options.horizon_seconds * loss - moves * options.move_price;
}

const planner_weight_copy* placement_round::find_copy(std::size_t server,
                                                      std::size_t model) const
{
    const auto& copies = input_.servers[server].copies;
    const auto& declared = input_.models[model].id;
    const auto found = std::find_if(
        copies.begin(), copies.end(), [&declared](const auto& copy) {
            return copy.model == declared;
        });
    return found == copies.end() ? nullptr : &*found;
}

/// Returns whether the model may be loaded on the server. Without a copy of the
/// weights on the server, the load uses the weight store.
bool placement_round::may_load_on(std::size_t server, std::size_t model) const
{
    const auto& target = input_.servers[server];
    return target.usable && target.accepts_orders &&
           !has_replica(server, model) &&
           (remaining_store_loads_ > 0 || find_copy(server, model) != nullptr);
}

double placement_round::load_seconds(const load_choice& choice) const
{
    const auto* copy = find_copy(choice.server, choice.model);
    return copy == nullptr ? input_.models[choice.model].load_seconds
                           : copy->load_seconds;
}

/// Returns the best-ranked servers that could load the model, ordered by the
/// sum of the loss from making room, the server's load and the duration of
/// loading.
std::vector<placement_round::load_choice>
placement_round::best_ranked_choices(std::size_t model, bool may_evict) const
{
    std::vector<std::pair<double, load_choice>> ranked;
    for (std::size_t s = 0; s < input_.servers.size(); ++s) {
        if (!may_load_on(s, model))
            continue;
        auto victims = choose_victims(s, needed_mib(s, model));
        if (!victims ||
            (!victims->empty() && (!may_evict || has_change_in_progress(s))))
            continue;
        load_choice choice{model, s, std::move(*victims), 0.0};
        double cost = estimate_.server_load[s] / input_.servers[s].capacity;
        for (const auto victim : choice.victims)
            cost += eviction_loss(s, victim).value_or(0.0);
        cost += load_seconds(choice) / input_.options.horizon_seconds;
        ranked.emplace_back(cost, std::move(choice));
    }
    const auto kept = std::min(ranked.size(), max_evaluated_servers);
    std::partial_sort(
        ranked.begin(),
        ranked.begin() + static_cast<std::ptrdiff_t>(kept),
        ranked.end(),
        [](const auto& x, const auto& y) { return x.first < y.first; });
    std::vector<load_choice> choices;
    for (std::size_t i = 0; i < kept; ++i)
        choices.push_back(std::move(ranked[i].second));
    return choices;
}

/// Evaluates the best-ranked servers for each of the models and returns the
/// choice with the highest value.
std::optional<placement_round::load_choice>
placement_round::best_choice(std::span<const std::size_t> models,
                             bool may_evict)
{
    std::optional<load_choice> best;
    for (const auto model : models) {
        for (auto& choice : best_ranked_choices(model, may_evict)) {
            choice.value = evaluate(choice);
            if (!best || choice.value > best->value)
                best = std::move(choice);
        }
    }
    return best;
}

void placement_round::update_estimate()
{
    serving_ = collect_serving(input_);
    for (const auto& promise : promised_)
        serving_[promise.model].push_back(promise.server);
    estimate_ = spread_demand(input_, serving_);
    total_unserved_ = std::accumulate(
        estimate_.unserved.begin(), estimate_.unserved.end(), 0.0);
}

void placement_round::load(std::size_t server,
                           std::size_t model,
                           step_reason reason)
{
    const auto& declared = input_.models[model];
    auto& target = input_.servers[server];
    steps_.push_back({order_kind::load,
                      target.id,
                      declared.id,
                      declared.version,
                      declared.memory_mib,
                      reason,
                      {}});
    target.committed_mib += needed_mib(server, model);
    target.replicas.push_back({declared.id,
                               declared.version,
                               declared.memory_mib,
                               false,
                               true,
                               false,
                               0.0});
    replica_models_[server].push_back(model);
    add_to_count(server, target.replicas.back(), model, 1);
    --remaining_loads_;
    if (find_copy(server, model) == nullptr && remaining_store_loads_ > 0)
        --remaining_store_loads_;
}

void placement_round::unload(std::size_t server,
                             std::size_t replica,
                             step_reason reason,
                             const model_id& room_for)
{
    auto& target = input_.servers[server];
    auto& entry = target.replicas[replica];
    steps_.push_back({order_kind::unload,
                      target.id,
                      entry.model,
                      entry.version,
                      entry.memory_mib,
                      reason,
                      room_for});
    const auto indexed = replica_models_[server][replica];
    add_to_count(server, entry, indexed, -1);
    entry.ready = false;
    entry.changing = true;
    entry.unloading = true;
    add_to_count(server, entry, indexed, 1);
}

/// Plans the load if there is room. Otherwise plans only the unloads that make
/// room; the load is planned again once the memory is known to be free.
void placement_round::apply_choice(const load_choice& choice,
                                   step_reason reason)
{
    if (choice.victims.empty()) {
        load(choice.server, choice.model, reason);
    }
    else {
        for (const auto victim : choice.victims)
            unload(choice.server,
                   victim,
                   step_reason::make_room,
                   input_.models[choice.model].id);
        --remaining_loads_;
        if (find_copy(choice.server, choice.model) == nullptr &&
            remaining_store_loads_ > 0)
            --remaining_store_loads_;
        promised_.push_back({choice.server, choice.model});
    }
    update_estimate();
}

/// Plans a load if there is room, or else the unloads that make room for a
/// later round. Returns whether anything was planned.
bool placement_round::load_with_room(std::size_t model, step_reason reason)
{
    if (const auto server = best_free_server(model)) {
        load(*server, model, reason);
        return true;
    }
    const auto choice = best_choice(std::span(&model, 1), true);
    if (!choice)
        return false;
    apply_choice(*choice, reason);
    return true;
}

void placement_round::repair_reachability()
{
    std::vector<std::size_t> unreachable;
    for (std::size_t m = 0; m < input_.models.size(); ++m) {
        const auto& replicas = count(m);
        if (replicas.ready + replicas.loading_current == 0)
            unreachable.push_back(m);
    }
    std::stable_sort(
        unreachable.begin(), unreachable.end(), [this](auto a, auto b) {
            return input_.models[a].demand > input_.models[b].demand;
        });
    for (const auto model : unreachable)
        if (remaining_loads_ > 0)
            load_with_room(model, step_reason::reachability);
}

void placement_round::roll_out_versions()
{
    for (std::size_t m = 0; m < input_.models.size() && remaining_loads_ > 0;
         ++m) {
        const auto& replicas = count(m);
        const bool has_outdated_replicas =
            replicas.ready > replicas.ready_current;
        const auto floor = input_.models[m].min_replicas;
        if (has_outdated_replicas &&
            replicas.ready_current + replicas.loading_current < floor)
            load_with_room(m, step_reason::new_version);
    }
}

void placement_round::repair_min_replicas()
{
    for (std::size_t m = 0; m < input_.models.size() && remaining_loads_ > 0;
         ++m) {
        const auto& replicas = count(m);
        const auto present = replicas.ready_current + replicas.loading_current;
        if (present > 0 && present < input_.models[m].min_replicas)
            load_with_room(m, step_reason::floor);
    }
}

/// Adds second replicas in another failure domain, in free memory only.
void placement_round::spread_domains()
{
    if (!input_.options.spread_domains)
        return;
    for (std::size_t m = 0; m < input_.models.size() && remaining_loads_ > 0;
         ++m) {
        const auto& replicas = count(m);
        if (replicas.ready_current == 0 || replicas.loading_current > 0 ||
            replicas.ready_current >= input_.models[m].max_replicas)
            continue;
        const auto in_domain = replicas_by_domain(m);
        if (in_domain.size() >= 2)
            continue;
        const auto server = best_free_server(m);
        if (server &&
            !in_domain.contains(input_.servers[*server].failure_domain))
            load(*server, m, step_reason::domain_spread);
    }
}

void placement_round::follow_demand()
{
    promise_vacated_servers();
    const auto max_demand_steps = std::max(
        min_demand_steps, input_.servers.size() / servers_per_demand_step);
    for (std::size_t step = 0;
         step < max_demand_steps && remaining_loads_ > 0 &&
         total_unserved_ >= negligible_work;
         ++step)
    {
        const auto models = models_by_need(estimate_.unserved);
        const auto choice = best_choice(models, true);
        const double value = choice ? std::max(choice->value, 0.0) : 0.0;
        const auto relocated = best_relocation(models);
        if (relocated && relocated->value > value) {
            apply_choice(relocated->first, step_reason::relocation);
            promise(relocated->server, relocated->model);
            continue;
        }
        if (value <= 0.0)
            return;
        apply_choice(*choice, step_reason::demand);
    }
}

/// Fills idle memory with spare replicas of the models that are most likely to
/// need them. Spare replicas are evicted as soon as the memory is needed.
void placement_round::fill_idle_memory()
{
    for (int step = 0; step < max_spare_steps && remaining_loads_ > 0; ++step) {
        std::vector<double> need;
        for (std::size_t m = 0; m < input_.models.size(); ++m)
            need.push_back(potential_change(m, 1));
        const auto choice = best_choice(models_by_need(need), false);
        if (!choice || choice->value <= 0.0)
            return;
        apply_choice(*choice, step_reason::spare);
    }
}

/// Unloads models that are no longer declared and replaced versions.
void placement_round::remove_obsolete_replicas()
{
    for (std::size_t s = 0; s < input_.servers.size(); ++s) {
        if (!input_.servers[s].usable)
            continue;
        auto& replicas = input_.servers[s].replicas;
        for (std::size_t r = 0; r < replicas.size(); ++r) {
            if (!replicas[r].ready || replicas[r].changing)
                continue;
            const auto model = replica_models_[s][r];
            if (model == undeclared) {
                unload(s, r, step_reason::not_declared, {});
                continue;
            }
            const auto& declared = input_.models[model];
            const auto present = count(model).ready_current;
            if (replicas[r].version != declared.version &&
                present >= declared.min_replicas)
                unload(s, r, step_reason::old_version, {});
        }
    }
}

} // namespace barleyfork
