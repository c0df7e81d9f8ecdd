#ifndef BARLEYFORK_CORE_CELL_CONTROLLER_HPP
#define BARLEYFORK_CORE_CELL_CONTROLLER_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/core/memory_ledger.hpp>
#include <barleyfork/core/placement_planner.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace barleyfork {

/// A conditional write of one ledger row.
struct ledger_write
{
    ledger_row row;
    /// The version that the row must still have; 0 where it is absent.
    std::uint64_t expected_version = 0;
};

/// What the duties have to do for the controller.
struct controller_effects
{
    std::vector<ledger_write> writes;
    /// Orders to send now, each at most once; the server beside each.
    std::vector<std::pair<server_id, engine_order>> orders;
};

/// How a conditional write ended.
enum class write_outcome : std::uint8_t
{
    done,
    conflict,
    /// No answer came; the write may have taken effect.
    unknown,
};

/// Decides the orders of one cell of backend servers under one lease.
///
/// Adopting a row raises its epoch, which is the fencing number of the orders
/// for that server; the conditional write makes it unique even where two
/// daemons believe they hold the lease. No order is sent before the ledger
/// row that counts it is known to be written. At most one write per row is
/// outstanding. The object lives for one holding of the lease. Where an order
/// to a checking engine got no answer, the row's epoch is raised and the
/// engine fenced, which closes the order. Not thread-safe.
class cell_controller
{
public:
    /// `lease_epoch` is the least fencing number this holder uses.
    cell_controller(instance_id self, std::uint64_t lease_epoch);

    /// Adds a server of the cell; `row` is the ledger row as read, or a fresh
    /// one with version 0.
    void add_server(ledger_row row, std::uint64_t version);

    /// Takes over what a new declaration says of a server.
    void update_server(const server_id& server,
                       std::uint32_t capacity_mib,
                       bool checks_fencing);

    /// Removes a server that is no longer declared.
    void remove_server(const server_id& server);

    /// Takes in a report of an engine.
    void on_report(const server_id& server, const engine_report& report);

    /// Marks instances that the platform lists as gone for good.
    void on_instances_gone(std::span<const instance_id> gone);

    /// Asks for one planned step; ignored where the ledger forbids it.
    /// Returns true where it was taken up.
    bool request(const planned_step& step, std::string order_name);

    /// The outcome of a write; after `unknown` the same write is repeated.
    ///
    /// `conflict` means that another writer's row stands, told by its
    /// write id; a row with this write's own id counts as `done`.
    void on_write(const server_id& server,
                  write_outcome outcome,
                  std::uint64_t version);

    /// The engine's answer to an order.
    void on_answer(const server_id& server,
                   const engine_order& order,
                   const order_answer& answer);

    /// What to do now: adopts rows of earlier epochs, writes changed rows,
    /// releases orders whose row is written, fences engines.
    controller_effects collect();

    /// False once another writer changed a row: the epoch is over.
    bool valid() const noexcept
    {
        return valid_;
    }

    /// True where no answer to an outstanding order is to come any more.
    bool is_unanswered(const server_id& server,
                       const engine_order& order) const;

    /// Lets fences that failed be sent again; called at a bounded rate.
    void retry_fences();

    /// The rows as last known to be written, for the planner and status.
    const ledger_row* written_row(const server_id& server) const;

    /// The servers of the cell in order of their ids.
    std::vector<server_id> servers() const;

private:
    struct server_slot
    {
        /// The row as last known to stand in the table, and its version.
        ledger_row written;
        std::uint64_t version = 0;
        /// This holder's fencing number for the server.
        std::uint64_t epoch = 0;
        /// The row as it should be.
        ledger_row wanted;
        /// The row being written; kept until its outcome is known.
        std::optional<ledger_row> in_flight;
        bool awaiting_outcome = false;
        bool adopted = false;
        bool fence_sent = false;
        bool fence_failed = false;
        /// Orders in `wanted` that are not sent yet.
        std::vector<engine_order> unsent;
        /// Orders of this epoch that no answer came for.
        std::vector<order_id> unanswered;
    };

    static bool is_unanswered(const server_slot& slot,
                              const engine_order& order);
    static bool may_repeat_load(const server_slot& slot,
                                const planned_step& step);
    void raise_epoch(server_slot& slot);
    void collect_write(server_slot& slot, controller_effects& effects);
    void collect_orders(const server_id& id,
                        server_slot& slot,
                        controller_effects& effects);
    void collect_fence(const server_id& id,
                       server_slot& slot,
                       controller_effects& effects);

    instance_id self_;
    std::uint64_t lease_epoch_;
    std::uint64_t writes_ = 0;
    bool valid_ = true;
    std::map<server_id, server_slot> slots_;
};

} // namespace barleyfork

#endif
