#ifndef BARLEYFORK_GATEWAY_SRC_PLACEMENT_WORKER_HPP
#define BARLEYFORK_GATEWAY_SRC_PLACEMENT_WORKER_HPP

#include "gateway_context.hpp"
#include "lease_row_codec.hpp"
#include "peer_updates.hpp"

#include <barleyfork/core/lease.hpp>
#include <barleyfork/core/placement_controller.hpp>
#include <barleyfork/core/placement_throttle.hpp>
#include <barleyfork/core/takeover_timer.hpp>

#include <boost/asio/awaitable.hpp>
#include <map>
#include <optional>

namespace barleyfork {

/// Acquires the placement lease when it is free, and sends orders to the
/// engines while holding it. Only one daemon of the deployment does so at a
/// time. The loss of the lease stops moves of models, never serving. Used by
/// one worker only.
class placement_worker
{
public:
    placement_worker(gateway_context& context,
                     store_watch& watch,
                     peer_updates& updates);

    boost::asio::awaitable<void> run();

    /// Releases the lease, so that another daemon can take it soon.
    boost::asio::awaitable<void> release();

    /// Adds the demand and the adapter needs and uses that a peer reports.
    void on_demand(const schema::peer_message_record& message);

private:
    /// Returns the minimum time between orders of two holders to one server.
    static duration min_holder_gap(const schema::bound_settings_record& bounds);
    static lease_options
    make_lease_options(const schema::bound_settings_record& bounds);

    holder_rank rank() const;
    /// Returns a random number from 0 to 1.
    double draw();
    boost::asio::awaitable<void> maintain_lease();
    boost::asio::awaitable<void> write_lease_if_due(bool held,
                                                    bool is_holder_responsive);
    void prepare_takeover(time_point now, time_point steady_time);
    void on_released(bool named);
    past_orders recent_orders(time_point now) const;
    order_bounds bounds() const;
    boost::asio::awaitable<void> read_lease();
    boost::asio::awaitable<void> write_lease(lease_row row);
    void observe(const store_read& read);
    bool may_order(time_point now) const;
    const char* obstacle_to_order(const server_id& server,
                                  time_point now) const;

    void add_own_demand();
    void run_planning(time_point now);
    void plan_soon();
    void update_controllers(time_point now);
    void collect(const service_id& service,
                 placement_controller& controller,
                 time_point now);
    void execute(const service_id& service, const placement_action& action);
    void heed_rejection(const server_process& process,
                        std::string_view call,
                        std::optional<duration> rejects_for);
    boost::asio::awaitable<void> send_order(service_id service,
                                            placement_action action,
                                            server_process process,
                                            engine_address to);
    boost::asio::awaitable<void> read_report(service_id service,
                                             server_process process,
                                             engine_address from);
    void publish(time_point now);
    void log_demand(time_point now);

    gateway_context& context_;
    store_watch& watch_;
    peer_updates& peer_updates_;
    lease lease_;
    /// Whether this process has tried to write the lease.
    bool has_written_ = false;
    bool stopping_ = false;
    std::uint64_t writes_ = 0;
    /// Observed by calls about the lease only, from their sending: a renewal
    /// may not look older than it is.
    store_clock store_clock_;
    takeover_timer takeover_timer_;
    placement_throttle throttle_;
    /// Whether a pass was posted that has not run yet.
    bool is_pass_pending_ = false;
    time_point next_demand_log_{};
    time_point published_at_{};
    /// Earliest time of the first order. A holder that released the lease
    /// without leaving its orders may have sent some just before.
    time_point orders_allowed_from_{};
    /// Whether the row that was read last is of a backup of the store.
    bool is_row_of_backup_ = false;
    /// Whether an earlier process of this instance was the last holder.
    bool was_held_by_own_predecessor_ = false;
    /// The orders that the last holder left in the row, and when it wrote them.
    std::optional<order_ages> previous_orders_;
    time_point previous_orders_written_at_{};
    /// The holder from which this daemon took the lease.
    previous_holder previous_;
    std::map<service_id, placement_controller> controllers_;
};

} // namespace barleyfork

#endif
