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

/// Writes and orders that the caller carries out for the controller.
struct controller_effects
{
    std::vector<ledger_write> writes;
    /// Orders to send now, each at most once, with the server of each.
    std::vector<std::pair<server_id, engine_order>> orders;
};

/// Result of a conditional write.
enum class write_outcome : std::uint8_t
{
    done,
    conflict,
    /// No response arrived; the write may have taken effect.
    unknown,
};

/// Decides the orders of one cell of backend servers under one lease.
///
/// Adopting a row raises its epoch, which is the fencing number of the orders
/// for that server; the conditional write makes the epoch unique even where
/// two daemons believe that they hold the lease. No order is sent before the
/// write of the ledger row that counts it is confirmed. At most one write per
/// row is outstanding. One object serves one tenure of a lease holder. Where an
/// order to an engine that checks fencing numbers got no response, the row's
/// epoch is raised and the engine fenced, which closes the order. Not
/// thread-safe.
class cell_controller
{
public:
    /// `lease_epoch` is the minimum fencing number that this holder uses.
    cell_controller(instance_id self, std::uint64_t lease_epoch);

    /// Adds a server of the cell; `row` is the ledger row as read, or a new
    /// row with version 0.
    void add_server(ledger_row row, std::uint64_t version);

    /// Applies the attributes of a server in a new declaration.
    void update_server(const server_id& server,
                       std::uint32_t capacity_mib,
                       bool checks_fencing);

    /// Removes a server that is no longer declared.
    void remove_server(const server_id& server);

    /// Applies a report of an engine.
    void on_report(const server_id& server, const engine_report& report);

    /// Marks the orders of instances that the platform has removed from its
    /// list; an instance id is never used again.
    void on_instances_removed(std::span<const instance_id> gone);

    /// Requests one planned step. Returns false, and changes nothing, where
    /// the ledger forbids the step.
    bool request(const planned_step& step, std::string order_name);

    /// Records the outcome of a write; after `unknown` the same write is
    /// retried.
    ///
    /// `conflict` means that the table holds another writer's row, which has
    /// another write id; a row with this write's own id counts as `done`.
    void on_write(const server_id& server,
                  write_outcome outcome,
                  std::uint64_t version);

    /// Processes the engine's response to an order.
    void on_answer(const server_id& server,
                   const engine_order& order,
                   const order_answer& answer);

    /// Returns the writes and orders that are due: adopts rows of earlier
    /// epochs, writes changed rows, releases orders whose row is written and
    /// fences engines.
    controller_effects collect();

    /// Returns false once another writer has changed a row, which ends this
    /// holder's epoch.
    bool is_valid() const noexcept
    {
        return is_valid_;
    }

    /// Returns true where no response to an outstanding order can arrive any
    /// more.
    bool is_unanswered(const server_id& server,
                       const engine_order& order) const;

    /// Allows failed fences to be sent again; called at a bounded rate.
    void retry_fences();

    /// Returns the row as last confirmed in the table, or null for an unknown
    /// server; for the planner and the status.
    const ledger_row* written_row(const server_id& server) const;

    /// Returns the servers of the cell in order of their ids.
    std::vector<server_id> servers() const;

private:
    struct server_slot
    {
        /// The row as last confirmed in the table, and its version.
        ledger_row written;
        std::uint64_t version = 0;
        /// This holder's fencing number for the server.
        std::uint64_t epoch = 0;
        /// The row that the table is to hold.
        ledger_row desired;
        /// The row being written; kept until its outcome is known.
        std::optional<ledger_row> in_flight;
        bool awaiting_outcome = false;
        bool adopted = false;
        bool fence_sent = false;
        bool fence_failed = false;
        /// Orders in `desired` that are not sent yet.
        std::vector<engine_order> unsent;
        /// Orders of this epoch whose response is lost.
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
    bool is_valid_ = true;
    std::map<server_id, server_slot> slots_;
};

} // namespace barleyfork

#endif
