#ifndef BARLEYFORK_GATEWAY_SRC_PLACEMENT_DUTY_HPP
#define BARLEYFORK_GATEWAY_SRC_PLACEMENT_DUTY_HPP

#include "gateway_context.hpp"
#include "lease_row_codec.hpp"
#include "peer_news.hpp"

#include <barleyfork/core/lease.hpp>
#include <barleyfork/core/placement_controller.hpp>
#include <barleyfork/core/takeover_turn.hpp>
#include <barleyfork/core/work_pace.hpp>

#include <boost/asio/awaitable.hpp>
#include <map>
#include <optional>

namespace barleyfork {

/// Takes the placement's lease where nobody holds it, and gives engines their
/// orders while it is held. One daemon of all does so at a time; losing it
/// stops moves, never serving. Belongs to one duty.
class placement_duty
{
public:
    placement_duty(gateway_context& context,
                   store_watch& watch,
                   peer_news& news);

    boost::asio::awaitable<void> run();

    /// Gives the lease up, so that another daemon can take it soon.
    boost::asio::awaitable<void> release();

    /// Demand and wishes that a peer told.
    void on_demand(const schema::peer_message_record& message);

private:
    /// No server gets orders of two holders within this.
    static duration holder_gap(const schema::bound_settings_record& bounds);
    static lease_options
    make_lease_options(const schema::bound_settings_record& bounds);

    holder_rank rank() const;
    /// A random number from 0 to 1.
    double draw();
    boost::asio::awaitable<void> keep_lease();
    boost::asio::awaitable<void> write_if_due(bool held, bool hears_holder);
    void take_over(time_point now, time_point steady);
    void on_released(bool named);
    past_orders recent_orders(time_point now) const;
    order_bounds bounds() const;
    boost::asio::awaitable<void> read_lease();
    boost::asio::awaitable<void> write_lease(lease_row row);
    void observe(const store_read& read);
    void note_store_clock(std::int64_t store_ms, time_point began);
    std::int64_t latest_store_ms(time_point now) const;
    bool may_order(time_point now) const;

    void take_wishes();
    void work(time_point now);
    void update_controllers(time_point now);
    void collect(const service_id& service,
                 placement_controller& controller,
                 time_point now);
    void carry_out(const service_id& service, const placement_action& action);
    boost::asio::awaitable<void>
    send_order(service_id service, placement_action action, engine_address to);
    boost::asio::awaitable<void>
    read_report(service_id service, server_id server, engine_address from);
    void publish(time_point now);
    void log_demand(time_point now);

    gateway_context& context_;
    store_watch& watch_;
    peer_news& news_;
    lease lease_;
    /// This process has tried to take the lease.
    bool wrote_ = false;
    bool stopping_ = false;
    std::uint64_t writes_ = 0;
    /// What the store's clock said last, and when that was asked.
    std::int64_t store_ms_ = 0;
    time_point store_ms_at_{};
    takeover_turn turn_;
    work_pace pace_;
    time_point next_demand_log_{};
    time_point published_at_{};
    /// A holder that let go without telling may have ordered just before.
    time_point orders_from_{};
    /// An earlier process of this instance held the lease last.
    bool own_before_ = false;
    /// What the last holder left in the row, and when that was.
    std::optional<order_ages> left_orders_;
    time_point left_orders_seen_at_{};
    /// Whom this daemon took the lease from.
    previous_holder previous_;
    std::map<service_id, placement_controller> controllers_;
};

} // namespace barleyfork

#endif
