#ifndef BARLEYFORK_DAEMON_SRC_PLACEMENT_DUTY_HPP
#define BARLEYFORK_DAEMON_SRC_PLACEMENT_DUTY_HPP

#include "backend_client.hpp"
#include "cell_input.hpp"
#include "daemon_context.hpp"
#include "server_reports.hpp"
#include "table_duty.hpp"

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

/// Holds the leases of cells and drives their controllers: plans, ledger
/// writes, orders. Lives on the control duty.
class placement_duty
{
public:
    placement_duty(daemon_context& context,
                   table_duty& table,
                   backend_client& backends,
                   membership& members,
                   server_reports& reports);

    /// Takes in the catalog in force.
    void set_catalog(std::shared_ptr<const catalog> config);

    /// Takes in rows of the control prefix as polled.
    void on_row(const table_row& row, time_point now);

    /// The first poll of the table has come back.
    void on_table_known() noexcept
    {
        table_known_ = true;
    }

    /// Takes in a fresh report.
    void on_report(const server_id& server, const engine_status& status);

    /// Takes in demand that one instance saw, per model.
    void on_demand(const instance_id& from,
                   const std::map<model_id, double>& demand,
                   time_point now);

    /// Takes in instances that left the platform's list.
    void on_instances_gone(const std::vector<instance_id>& gone);

    /// Renews leases, plans, writes and orders what is due.
    void tick(time_point now);

    /// Gives up every lease; waits for the writes.
    boost::asio::awaitable<void> release();

    /// Servers of the cells whose lease is held here.
    std::vector<server_id> held_servers(time_point now) const;

    /// The holder of each cell's lease as last seen.
    std::vector<instance_id> holders() const;

    /// Ledger rows as last seen, by server.
    const std::map<server_id, ledger_row>& rows() const noexcept
    {
        return rows_;
    }

    /// Estimated work for each model, in server-seconds a second.
    double demand_of(const model_id& model) const;

private:
    struct cell
    {
        explicit cell(lease held) : holding(std::move(held)) {}

        lease holding;
        std::optional<cell_controller> controller;
        /// Grows with each controller: answers to an earlier one are dropped.
        std::uint64_t generation = 0;
        /// Declared servers may be missing from the controller.
        bool stale = false;
        bool writing_lease = false;
        bool reading_rows = false;
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
                              const std::map<server_id, table_row>& standing);
    void plan(std::size_t index, time_point now);
    planner_input make_input(std::size_t index, time_point now);
    void execute(std::size_t index, time_point now);
    boost::asio::awaitable<void> write_row(std::size_t index,
                                           ledger_write write);
    boost::asio::awaitable<void>
    send_order(std::size_t index, server_id server, engine_order order);
    void estimate_demand(time_point now);

    daemon_context& context_;
    table_duty& table_;
    backend_client& backends_;
    membership& members_;
    server_reports& reports_;
    std::shared_ptr<const catalog> config_;
    bool table_known_ = false;
    bool releasing_ = false;
    std::vector<std::unique_ptr<cell>> cells_;
    /// Cells in use; those beyond it are left to lapse.
    cell_map map_;
    /// Orders that were handed to a connection and have no answer.
    std::set<order_id> sent_;
    std::map<server_id, ledger_row> rows_;
    std::map<server_id, std::uint64_t> row_versions_;
    std::map<instance_id, demand_source> demand_;
    std::map<model_id, demand_estimator> estimators_;
    std::vector<instance_id> gone_;
    token_bucket load_rate_;
    time_point next_estimate_{};
};

} // namespace barleyfork

#endif
