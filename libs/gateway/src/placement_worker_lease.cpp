/// The part of the placement worker that acquires, renews and releases the
/// lease.

#include "placement_worker.hpp"

#include "lease_row_codec.hpp"

#include <barleyfork/base/log.hpp>

#include <algorithm>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

constexpr const char* lease_table = "barleyfork_lease";
constexpr const char* lease_key = "placement";

/// How long a holder may act after its last renewal.
constexpr duration lease_validity{1700};
constexpr duration renewal_interval{600};
/// Allowance for the transit time of a message.
constexpr duration transit_allowance{300};
/// Time after which all orders of an earlier process of this instance have
/// arrived.
constexpr duration own_restart_gap{500};
/// While the other daemons are unknown, a daemon with this share of a processor
/// and this link counts as well placed.
constexpr double well_placed_cpu_share = 0.5;
constexpr double well_placed_link_mbps = 200.0;
constexpr double max_unknown_handicap = 0.375;

/// Converts times to ages, because clocks of different daemons must not be
/// compared.
order_ages to_ages(const past_orders& orders, time_point now)
{
    order_ages ages;
    for (const auto& [server, at] : orders.last_order)
        ages.last_order.emplace(server, now - at);
    for (const auto at : orders.store_loads)
        ages.store_loads.push_back(now - at);
    return ages;
}

} // namespace

/// Returns the minimum time between orders of two holders to one server.
duration
placement_worker::min_holder_gap(const schema::bound_settings_record& bounds)
{
    return duration(static_cast<std::int64_t>(bounds.holder_change_ms)) +
           transit_allowance;
}

lease_options placement_worker::make_lease_options(
    const schema::bound_settings_record& bounds)
{
    lease_options options;
    options.margin = min_holder_gap(bounds);
    options.term = lease_validity + options.margin;
    options.renewal_interval = renewal_interval;
    return options;
}

/// Ranks this daemon as a holder. Daemons with a narrow link try later than
/// others.
holder_rank placement_worker::rank() const
{
    auto rank = peer_updates_.rank_as_holder();
    if (rank.daemons > 1)
        return rank;
    const auto& settings = context_.settings;
    const double processor =
        std::min(settings.cpu_share / well_placed_cpu_share, 1.0);
    const double link =
        std::min(settings.link_mbps / well_placed_link_mbps, 1.0);
    rank.handicap = max_unknown_handicap * (1.0 - std::min(processor, link));
    return rank;
}

double placement_worker::draw()
{
    return std::uniform_real_distribution<double>()(context_.random);
}

asio::awaitable<void> placement_worker::maintain_lease()
{
    // Without a configuration this daemon could not acquire the lease.
    if (context_.configuration == nullptr)
        co_return;
    const bool held = lease_.held(boot_now());
    const bool is_holder_responsive =
        peer_updates_.is_holder_responsive(steady_now());
    if (!held) {
        takeover_timer_.on_peer_state(
            is_holder_responsive, rank(), boot_now(), draw());
        if (!takeover_timer_.due(boot_now()))
            co_return;
        co_await read_lease();
    }
    co_await write_lease_if_due(held, is_holder_responsive);
    if (!held)
        takeover_timer_.on_row_checked(
            lease_.expires_at(), rank(), boot_now(), draw());
}

/// Renews the lease if this daemon holds it, or takes it if it has expired.
asio::awaitable<void>
placement_worker::write_lease_if_due(bool held, bool is_holder_responsive)
{
    const auto id = context_.self.value() + "-" + std::to_string(++writes_) +
                    "-" + std::to_string(context_.random());
    const auto row = lease_.next_write(!is_holder_responsive, id, boot_now());
    if (!row)
        co_return;
    if (!held)
        prepare_takeover(boot_now(), steady_now());
    has_written_ = true;
    co_await write_lease(*row);
    if (held || !lease_.held(boot_now()))
        co_return;
    log_event(log_level::info, "lease_taken")
        .with("lease", lease_key)
        .with("epoch", static_cast<std::int64_t>(lease_.epoch()))
        .with("orders_told", previous_.told ? "yes" : "no");
    watch_.set_holder(true);
    peer_updates_.start_holding_lease(lease_.epoch());
}

/// Derives from the lease row what binds this daemon if it takes the lease now.
/// The last holder's term has expired, or it released the lease and left its
/// orders, or it released the lease without leaving them.
void placement_worker::prepare_takeover(time_point now, time_point steady_time)
{
    previous_ = previous_holder();
    orders_allowed_from_ = time_point{};
    const auto gap = min_holder_gap(*context_.settings.bounds);
    if (!lease_.version().is_known() && !is_row_of_backup_)
        return;
    if (!lease_.holder().empty() || is_row_of_backup_) {
        previous_.ended_at = steady_time - gap;
        return;
    }
    previous_.ended_at = steady_time;
    if (was_held_by_own_predecessor_) {
        // Orders of another holder that the row still lists remain binding.
        orders_allowed_from_ = now + (previous_orders_ ? gap : own_restart_gap);
        return;
    }
    if (!previous_orders_) {
        orders_allowed_from_ = now + gap;
        return;
    }
    previous_.told.emplace();
    for (const auto& [server, age] : previous_orders_->last_order)
        previous_.told->last_order.emplace(server,
                                           previous_orders_written_at_ - age);
    for (const auto age : previous_orders_->store_loads)
        previous_.told->store_loads.push_back(previous_orders_written_at_ -
                                              age);
}

asio::awaitable<void> placement_worker::read_lease()
{
    context_.measures.count_store_call(store_purpose::lease, "read");
    const auto began = boot_now();
    const auto read =
        co_await context_.platform.store->read_row(lease_table, lease_key);
    if (read.error)
        co_return;
    store_clock_.observe(read.store_ms, began);
    observe(read);
}

void placement_worker::observe(const store_read& read)
{
    const auto* row = read.rows.empty() ? nullptr : &read.rows.front();
    auto stored = row == nullptr ? stored_lease{} : decode_lease(row->value);
    const auto era = read.version.era();
    // A process that is not of the first start expects a row.
    const bool is_lost = row == nullptr && !context_.settings.first_start;
    const bool is_of_backup = row == nullptr
                                  ? is_lost || context_.era().was_restored()
                                  : stored.era < era;
    // An earlier process of this instance held the lease. No other process of
    // the instance runs now, so the lease is free.
    was_held_by_own_predecessor_ =
        !has_written_ && !is_of_backup && stored.row.holder == context_.self &&
        stored.holder_address == context_.settings.address;
    if (was_held_by_own_predecessor_)
        stored.row.holder = instance_id();
    // The age of a renewal counts from its sending, since it may have been
    // delayed in transit.
    const duration age(
        stored.sent_ms == 0
            ? 0
            : std::max<std::int64_t>(read.store_ms - stored.sent_ms, 0));
    previous_orders_ = is_of_backup ? std::nullopt : std::move(stored.orders);
    previous_orders_written_at_ = steady_now() - age;
    lease_.observe(stored.row,
                   row == nullptr ? store_version(0, era) : row->version,
                   boot_now(),
                   age,
                   is_of_backup ? row_origin::backup : row_origin::current);
    is_row_of_backup_ = is_of_backup;
}

asio::awaitable<void> placement_worker::write_lease(lease_row row)
{
    context_.measures.count_store_call(store_purpose::lease, "write");
    const auto began = boot_now();
    stored_lease stored{row,
                        context_.settings.address,
                        store_clock_.estimate(began),
                        context_.era().current(),
                        std::nullopt};
    const auto others =
        orders_of_earlier_holders(previous_, bounds(), steady_now());
    if (!others.last_order.empty())
        stored.orders = to_ages(others, steady_now());
    const auto text = encode_lease(stored);
    const auto written = co_await context_.platform.store->write_row(
        lease_table, lease_key, text, lease_.version());
    if (written.end != store_write_outcome::done) {
        co_await read_lease();
        co_return;
    }
    store_clock_.observe(written.store_ms, began);
    lease_.written(row, written.version, boot_now());
}

/// Releases the lease. The row lists the orders that still bind the next
/// holder; then the successor is announced to all daemons.
asio::awaitable<void> placement_worker::release()
{
    stopping_ = true;
    const auto now = steady_now();
    const auto row = lease_.release("released", boot_now());
    const auto orders =
        orders_to_hand_over(previous_, recent_orders(now), bounds(), now);
    controllers_.clear();
    peer_updates_.set_lease_holder(false, 0);
    if (!row)
        co_return;
    const auto successor = peer_updates_.pick_successor(now);
    log_event(log_level::info, "lease_released")
        .with("lease", lease_key)
        .with("successor", successor.value());
    context_.measures.count_store_call(store_purpose::lease, "release");
    const auto text = encode_lease(
        {*row,
         std::string(),
         store_clock_.estimate(boot_now()),
         context_.era().current(),
         orders ? std::optional(to_ages(*orders, now)) : std::nullopt});
    const auto written = co_await context_.platform.store->write_row(
        lease_table, lease_key, text, lease_.version());
    if (written.end == store_write_outcome::done)
        peer_updates_.announce_release(row->epoch, successor);
}

/// Returns the recent orders of all services.
past_orders placement_worker::recent_orders(time_point now) const
{
    past_orders orders;
    for (const auto& [service, controller] : controllers_) {
        auto recent = controller.recent_orders(now);
        orders.last_order.merge(recent.last_order);
        orders.store_loads.insert(orders.store_loads.end(),
                                  recent.store_loads.begin(),
                                  recent.store_loads.end());
    }
    return orders;
}

order_bounds placement_worker::bounds() const
{
    const auto& given = *context_.settings.bounds;
    return {min_holder_gap(given), seconds(given.load_window_s)};
}

/// Processes the release of the lease by its holder: the named successor checks
/// the lease row immediately, the others once the successor should have
/// announced itself.
void placement_worker::on_released(bool named)
{
    takeover_timer_.released(named, rank(), boot_now(), draw());
}

} // namespace barleyfork
