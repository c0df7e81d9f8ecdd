#include <barleyfork/core/memory_ledger.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

template <typename Entry>
bool same_version(const Entry& entry,
                  const model_id& model,
                  std::uint32_t version)
{
    return entry.version == version && entry.model == model;
}

const resident_model* find_resident(std::span<const resident_model> residents,
                                    const model_id& model,
                                    std::uint32_t version)
{
    const auto found = std::find_if(
        residents.begin(), residents.end(), [&](const auto& entry) {
            return same_version(entry, model, version);
        });
    return found == residents.end() ? nullptr : &*found;
}

bool is_counted(const ledger_row& row,
                const model_id& model,
                std::uint32_t version)
{
    if (find_resident(row.residents, model, version) != nullptr)
        return true;
    return std::any_of(
        row.orders.begin(), row.orders.end(), [&](const auto& order) {
            return order.kind == order_kind::load &&
                   same_version(order, model, version);
        });
}

std::ptrdiff_t
count_loads(const ledger_row& row, const model_id& model, std::uint32_t version)
{
    return std::count_if(
        row.orders.begin(), row.orders.end(), [&](const auto& order) {
            return order.kind == order_kind::load &&
                   same_version(order, model, version);
        });
}

void add_resident(ledger_row& row,
                  const engine_order& order,
                  std::uint64_t sequence)
{
    for (auto& entry : row.residents) {
        if (!same_version(entry, order.model, order.version))
            continue;
        entry.since_sequence = std::max(entry.since_sequence, sequence);
        return;
    }
    row.residents.push_back(
        {order.model, order.version, order.memory_mib, sequence});
}

void start_boot(ledger_row& row, std::uint64_t boot)
{
    row.boot = boot;
    row.report_sequence = 0;
    row.fenced_sequence = 0;
    for (auto& entry : row.residents)
        entry.since_sequence = 0;
}

/// Closes orders of senders known to be removed before the engine restarted;
/// they cannot take effect any more, since their connections closed with the
/// old process.
void close_orders_of_gone_senders(ledger_row& row, std::uint64_t boot)
{
    for (auto& order : row.orders) {
        if (!order.sender_gone || order.gone_boot != 0)
            continue;
        if (++order.reports_since_gone >= 2)
            order.gone_boot = boot;
    }
    std::erase_if(row.orders, [boot](const engine_order& order) {
        return order.gone_boot != 0 && order.gone_boot < boot;
    });
}

/// Drops orders older than the acknowledged fence, which cannot take effect
/// after it.
void drop_fenced_orders(ledger_row& row, std::uint64_t sequence)
{
    if (!row.checks_fencing || row.fenced_epoch == 0 ||
        sequence <= row.fenced_sequence)
        return;
    std::erase_if(row.orders, [&row](const engine_order& order) {
        return order.epoch < row.fenced_epoch;
    });
}

/// Closes loads that a report proves complete: a load is sent at most once, so
/// a newly resident model shows that its only outstanding load took effect.
void close_completed_loads(ledger_row& row, const engine_report& report)
{
    for (const auto& reported : report.residents) {
        if (find_resident(row.residents, reported.model, reported.version) !=
            nullptr)
            continue;
        if (count_loads(row, reported.model, reported.version) != 1)
            continue;
        std::erase_if(row.orders, [&reported](const engine_order& order) {
            return order.kind == order_kind::load &&
                   same_version(order, reported.model, reported.version);
        });
    }
}

void close_completed_unloads(ledger_row& row, const engine_report& report)
{
    std::erase_if(row.orders, [&](const engine_order& order) {
        return order.kind == order_kind::unload && order.boot == row.boot &&
               find_resident(row.residents, order.model, order.version) ==
                   nullptr &&
               find_resident(report.residents, order.model, order.version) ==
                   nullptr;
    });
}

void merge_residents(ledger_row& row, const engine_report& report)
{
    std::erase_if(row.residents, [&report](const resident_model& entry) {
        return entry.since_sequence < report.sequence &&
               find_resident(report.residents, entry.model, entry.version) ==
                   nullptr;
    });
    for (const auto& reported : report.residents) {
        if (find_resident(row.residents, reported.model, reported.version) !=
            nullptr)
            continue;
        row.residents.push_back({reported.model,
                                 reported.version,
                                 reported.memory_mib,
                                 report.sequence});
    }
}

} // namespace

std::uint64_t committed_mib(const ledger_row& row)
{
    std::uint64_t total = 0;
    for (const auto& entry : row.residents)
        total += entry.memory_mib;
    for (auto order = row.orders.begin(); order != row.orders.end(); ++order) {
        if (order->kind != order_kind::load)
            continue;
        if (find_resident(row.residents, order->model, order->version))
            continue;
        const bool is_counted_before = std::any_of(
            row.orders.begin(), order, [&order](const engine_order& other) {
                return other.kind == order_kind::load &&
                       same_version(other, order->model, order->version);
            });
        if (!is_counted_before)
            total += order->memory_mib;
    }
    return total;
}

bool may_load(const ledger_row& row,
              const model_id& model,
              std::uint32_t version,
              std::uint32_t memory_mib)
{
    if (row.boot == 0)
        return false;
    const auto added = is_counted(row, model, version) ? 0 : memory_mib;
    return committed_mib(row) + added <= row.capacity_mib;
}

bool is_ready(const ledger_row& row,
              const model_id& model,
              std::uint32_t version)
{
    return find_resident(row.residents, model, version) != nullptr &&
           !is_unloading(row, model, version);
}

bool is_unloading(const ledger_row& row,
                  const model_id& model,
                  std::uint32_t version)
{
    return std::any_of(
        row.orders.begin(), row.orders.end(), [&](const auto& order) {
            return order.kind == order_kind::unload &&
                   same_version(order, model, version);
        });
}

bool has_order(const ledger_row& row,
               const model_id& model,
               std::uint32_t version)
{
    return std::any_of(
        row.orders.begin(), row.orders.end(), [&](const auto& order) {
            return same_version(order, model, version);
        });
}

void begin_order(ledger_row& row, const engine_order& order)
{
    row.orders.push_back(order);
}

void close_order(ledger_row& row,
                 const order_id& id,
                 const order_answer& answer)
{
    const auto found =
        std::find_if(row.orders.begin(),
                     row.orders.end(),
                     [&id](const auto& order) { return order.id == id; });
    if (found == row.orders.end() || answer.outcome == order_outcome::unknown)
        return;
    const bool is_done = answer.outcome == order_outcome::done;
    if (is_done &&
        (found->kind == order_kind::unload || answer.boot > row.boot))
        return;
    const auto order = *found;
    row.orders.erase(found);
    if (is_done && answer.boot == row.boot)
        add_resident(row, order, answer.sequence);
}

void acknowledge_fence(ledger_row& row,
                       std::uint64_t epoch,
                       const order_answer& answer)
{
    if (answer.boot != row.boot || epoch <= row.fenced_epoch)
        return;
    row.fenced_epoch = epoch;
    row.fenced_sequence = answer.sequence;
}

void mark_senders_gone(ledger_row& row, std::span<const instance_id> gone)
{
    for (auto& order : row.orders)
        if (std::find(gone.begin(), gone.end(), order.sender) != gone.end())
            order.sender_gone = true;
}

bool is_newer(const engine_report& report, const ledger_row& row)
{
    if (report.boot != row.boot)
        return report.boot > row.boot;
    return report.sequence > row.report_sequence &&
           std::all_of(row.residents.begin(),
                       row.residents.end(),
                       [&report](const auto& entry) {
                           return report.sequence > entry.since_sequence;
                       });
}

bool apply_report(ledger_row& row, const engine_report& report)
{
    if (report.boot < row.boot)
        return false;
    if (report.boot == row.boot && report.sequence <= row.report_sequence)
        return false;
    if (report.boot > row.boot)
        start_boot(row, report.boot);
    close_orders_of_gone_senders(row, report.boot);
    row.report_sequence = report.sequence;
    row.leaving = report.leaving;
    // This precedes the drop of fenced orders: one of them may have loaded a
    // model for which a later load was repeated.
    close_completed_loads(row, report);
    drop_fenced_orders(row, report.sequence);
    merge_residents(row, report);
    close_completed_unloads(row, report);
    return true;
}

} // namespace barleyfork
