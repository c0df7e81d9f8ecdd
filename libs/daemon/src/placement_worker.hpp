#ifndef BARLEYFORK_DAEMON_SRC_PLACEMENT_WORKER_HPP
#define BARLEYFORK_DAEMON_SRC_PLACEMENT_WORKER_HPP

#include "backend_client.hpp"
#include "cell_input.hpp"
#include "daemon_context.hpp"
#include "server_reports.hpp"
#include "table_worker.hpp"

#include <barleyfork/core/catalog.hpp>
#include <barleyfork/core/cell_controller.hpp>
#include <barleyfork/core/demand_estimator.hpp>
#include <barleyfork/core/lease.hpp>
#include <barleyfork/core/membership.hpp>
#include <barleyfork/core/token_bucket.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace barleyfork {

/// Acquires the leases of cells and runs their controllers: plans, ledger
/// writes, orders. Not thread-safe: runs on the control worker.
class placement_worker
{
public:
    placement_worker(daemon_context& context,
                     table_worker& table,
                     backend_client& backends,
                     membership& members,
                     server_reports& reports);

    /// Sets the catalog in force; resets the controllers where the number of
    /// cells changes.
    void set_catalog(std::shared_ptr<const catalog> config);

    /// Records a polled row of the control prefix.
    void on_row(const table_row& row, time_point now);

    /// Records that a poll of the table has succeeded; `tick` does nothing
    /// before.
    void on_table_polled() noexcept
    {
        table_known_ = true;
    }

    /// Passes a new report to the controller of the server's cell.
    void on_report(const server_id& server, const engine_status& status);

    /// Records the demand that one instance reports, per model.
    void on_demand(const instance_id& from,
                   const std::map<model_id, double>& demand,
                   time_point now);

    /// Processes the removal of instances from the platform's list.
    void on_instances_removed(const std::vector<instance_id>& gone);

    /// Renews leases, plans, and starts the ledger writes and orders that are
    /// due.
    void tick(time_point now);

    /// Releases every lease and waits for the writes.
    boost::asio::awaitable<void> release();

    /// Returns the servers of the cells whose lease this daemon holds.
    std::vector<server_id> leased_servers(time_point now) const;

    /// Returns the last known holder of each cell's lease.
    std::vector<instance_id> holders() const;

    /// Returns the last known ledger rows, by server.
    const std::map<server_id, ledger_row>& rows() const noexcept
    {
        return rows_;
    }

    /// Returns the estimated work for a model, in server-seconds per second.
    double demand_of(const model_id& model) const;

private:
    struct cell
    {
        explicit cell(lease held) : cell_lease(std::move(held)) {}

        lease cell_lease;
        std::optional<cell_controller> controller;
        /// Incremented with each controller; responses to an earlier controller
        /// are dropped.
        std::uint64_t generation = 0;
        /// True where the controller may lack declared servers.
        bool has_stale_servers = false;
        bool is_writing_lease = false;
        bool is_reading_rows = false;
        time_point next_plan{};
    };

    struct demand_source
    {
        std::map<model_id, double> work;
        time_point at{};
    };

    bool is_candidate(std::size_t index) const;
    void tick_lease(std::size_t index, time_point now);
    void tick_controller(std::size_t index, time_point now);
    boost::asio::awaitable<void> write_lease(std::size_t index, lease_row row);
    boost::asio::awaitable<void> read_rows(std::size_t index);
    void drop_unsent_orders(ledger_row& row) const;
    void add_declared_servers(std::size_t index,
                              const std::map<server_id, table_row>& stored);
    void plan(std::size_t index, time_point now);
    planner_input make_input(std::size_t index, time_point now);
    void execute(std::size_t index, time_point now);
    boost::asio::awaitable<void> write_row(std::size_t index,
                                           ledger_write write);
    boost::asio::awaitable<void>
    send_order(std::size_t index, server_id server, engine_order order);
    void estimate_demand(time_point now);

    daemon_context& context_;
    table_worker& table_;
    backend_client& backends_;
    membership& members_;
    server_reports& reports_;
    std::shared_ptr<const catalog> config_;
    bool table_known_ = false;
    bool is_releasing_ = false;
    std::vector<std::unique_ptr<cell>> cells_;
    /// Cells in use; the leases of cells beyond them are left to expire.
    cell_map map_;
    /// Orders that were passed to a connection and have no known outcome.
    std::set<order_id> sent_orders_;
    std::map<server_id, ledger_row> rows_;
    std::map<server_id, std::uint64_t> row_versions_;
    std::map<instance_id, demand_source> demand_;
    std::map<model_id, demand_estimator> estimators_;
    std::vector<instance_id> removed_instances_;
    token_bucket load_rate_;
    time_point next_estimate_{};
};

} // namespace barleyfork

#endif
