#include <barleyfork/core/cell_controller.hpp>

#include <algorithm>
#include <utility>

namespace barleyfork {

namespace {

/// Maximum number of outstanding loads of one model version.
constexpr std::size_t max_outstanding_loads = 4;

/// Ignores the report sequence and the write id, since a change of these
/// alone does not justify a write.
bool differs(const ledger_row& desired, const ledger_row& written)
{
    return desired.boot != written.boot || desired.leaving != written.leaving ||
           desired.capacity_mib != written.capacity_mib ||
           desired.checks_fencing != written.checks_fencing ||
           desired.fenced_epoch != written.fenced_epoch ||
           desired.residents != written.residents ||
           desired.orders != written.orders;
}

bool contains_order(const ledger_row& row, const order_id& id)
{
    return std::any_of(row.orders.begin(),
                       row.orders.end(),
                       [&id](const auto& order) { return order.id == id; });
}

} // namespace

cell_controller::cell_controller(instance_id self, std::uint64_t lease_epoch)
    : self_(std::move(self)), lease_epoch_(lease_epoch)
{
}

void cell_controller::add_server(ledger_row row, std::uint64_t version)
{
    const auto id = row.server;
    server_slot slot;
    slot.written = row;
    slot.desired = std::move(row);
    slot.version = version;
    slot.epoch = std::max(slot.written.epoch + 1, lease_epoch_);
    slots_.insert_or_assign(id, std::move(slot));
}

void cell_controller::update_server(const server_id& server,
                                    std::uint32_t capacity_mib,
                                    bool checks_fencing)
{
    const auto found = slots_.find(server);
    if (found == slots_.end())
        return;
    found->second.desired.capacity_mib = capacity_mib;
    found->second.desired.checks_fencing = checks_fencing;
}

void cell_controller::remove_server(const server_id& server)
{
    slots_.erase(server);
}

void cell_controller::on_report(const server_id& server,
                                const engine_report& report)
{
    const auto found = slots_.find(server);
    if (found == slots_.end())
        return;
    auto& slot = found->second;
    const auto boot = slot.desired.boot;
    if (apply_report(slot.desired, report) && slot.desired.boot != boot)
        slot.fence_sent = false;
}

void cell_controller::on_instances_removed(std::span<const instance_id> gone)
{
    for (auto& [id, slot] : slots_)
        mark_senders_gone(slot.desired, gone);
}

bool cell_controller::request(const planned_step& step, std::string order_name)
{
    const auto found = slots_.find(step.server);
    if (found == slots_.end())
        return false;
    auto& slot = found->second;
    const bool load = step.kind == order_kind::load;
    const bool outstanding = has_order(slot.desired, step.model, step.version);
    if (!slot.adopted ||
        (outstanding && !(load && may_repeat_load(slot, step))))
        return false;
    const bool allowed =
        load ? may_load(slot.desired, step.model, step.version, step.memory_mib)
             : is_ready(slot.desired, step.model, step.version);
    if (!allowed)
        return false;
    engine_order order;
    order.id = order_id(std::move(order_name));
    order.kind = step.kind;
    order.model = step.model;
    order.version = step.version;
    order.memory_mib = step.memory_mib;
    order.epoch = slot.epoch;
    order.sender = self_;
    order.boot = slot.desired.boot;
    begin_order(slot.desired, order);
    slot.unsent.push_back(std::move(order));
    return true;
}

/// A repeated load needs no more memory: a model version counts once, however
/// many of its loads may still take effect.
bool cell_controller::may_repeat_load(const server_slot& slot,
                                      const planned_step& step)
{
    std::size_t outstanding = 0;
    for (const auto& order : slot.desired.orders) {
        if (order.model != step.model || order.version != step.version)
            continue;
        ++outstanding;
        if (order.kind != order_kind::load || !is_unanswered(slot, order))
            return false;
    }
    return outstanding < max_outstanding_loads;
}

bool cell_controller::is_unanswered(const server_slot& slot,
                                    const engine_order& order)
{
    return order.epoch < slot.epoch ||
           std::find(slot.unanswered.begin(),
                     slot.unanswered.end(),
                     order.id) != slot.unanswered.end();
}

bool cell_controller::is_unanswered(const server_id& server,
                                    const engine_order& order) const
{
    const auto found = slots_.find(server);
    return found != slots_.end() && is_unanswered(found->second, order);
}

void cell_controller::retry_fences()
{
    for (auto& [id, slot] : slots_) {
        if (!slot.fence_failed)
            continue;
        slot.fence_failed = false;
        slot.fence_sent = false;
    }
}

void cell_controller::on_write(const server_id& server,
                               write_outcome outcome,
                               std::uint64_t version)
{
    const auto found = slots_.find(server);
    if (found == slots_.end())
        return;
    auto& slot = found->second;
    if (outcome == write_outcome::conflict) {
        is_valid_ = false;
        return;
    }
    slot.awaiting_outcome = false;
    if (outcome == write_outcome::unknown || !slot.in_flight)
        return;
    slot.written = std::move(*slot.in_flight);
    slot.in_flight.reset();
    slot.version = version;
    slot.adopted = true;
}

void cell_controller::on_answer(const server_id& server,
                                const engine_order& order,
                                const order_answer& answer)
{
    const auto found = slots_.find(server);
    if (found == slots_.end())
        return;
    auto& slot = found->second;
    if (order.kind == order_kind::fence) {
        if (answer.outcome == order_outcome::done)
            acknowledge_fence(slot.desired, order.epoch, answer);
        slot.fence_failed = slot.desired.fenced_epoch < order.epoch;
        return;
    }
    if (answer.outcome == order_outcome::unknown)
        slot.unanswered.push_back(order.id);
    close_order(slot.desired, order.id, answer);
}

controller_effects cell_controller::collect()
{
    controller_effects effects;
    if (!is_valid_)
        return effects;
    for (auto& [id, slot] : slots_) {
        collect_write(slot, effects);
        collect_fence(id, slot, effects);
        collect_orders(id, slot, effects);
    }
    return effects;
}

/// Raises the epoch where orders got no response: a fence with a larger epoch
/// closes them.
void cell_controller::raise_epoch(server_slot& slot)
{
    std::erase_if(slot.unanswered, [&slot](const order_id& id) {
        return !contains_order(slot.desired, id);
    });
    if (slot.unanswered.empty() || !slot.desired.checks_fencing)
        return;
    slot.unanswered.clear();
    slot.epoch = slot.written.epoch + 1;
    slot.fence_sent = false;
    slot.fence_failed = false;
}

void cell_controller::collect_write(server_slot& slot,
                                    controller_effects& effects)
{
    if (slot.awaiting_outcome)
        return;
    if (!slot.in_flight) {
        raise_epoch(slot);
        if (slot.adopted && slot.epoch == slot.written.epoch &&
            !differs(slot.desired, slot.written))
            return;
        slot.desired.epoch = slot.epoch;
        slot.desired.write_id = self_.value() + "/" +
                                std::to_string(lease_epoch_) + "/" +
                                std::to_string(++writes_);
        slot.in_flight = slot.desired;
    }
    slot.awaiting_outcome = true;
    effects.writes.push_back({*slot.in_flight, slot.version});
}

void cell_controller::collect_fence(const server_id& id,
                                    server_slot& slot,
                                    controller_effects& effects)
{
    const auto& row = slot.written;
    if (!row.checks_fencing || !slot.adopted || slot.fence_sent ||
        row.boot == 0 || slot.desired.fenced_epoch >= row.epoch)
        return;
    engine_order order;
    order.id = order_id(row.write_id + "/fence");
    order.kind = order_kind::fence;
    order.epoch = row.epoch;
    order.sender = self_;
    order.boot = row.boot;
    slot.fence_sent = true;
    effects.orders.emplace_back(id, std::move(order));
}

void cell_controller::collect_orders(const server_id& id,
                                     server_slot& slot,
                                     controller_effects& effects)
{
    std::erase_if(slot.unsent, [&](const engine_order& order) {
        if (!contains_order(slot.written, order.id))
            return false;
        effects.orders.emplace_back(id, order);
        return true;
    });
}

const ledger_row* cell_controller::written_row(const server_id& server) const
{
    const auto found = slots_.find(server);
    return found == slots_.end() ? nullptr : &found->second.written;
}

std::vector<server_id> cell_controller::servers() const
{
    std::vector<server_id> result;
    result.reserve(slots_.size());
    for (const auto& [id, slot] : slots_)
        result.push_back(id);
    return result;
}

} // namespace barleyfork
