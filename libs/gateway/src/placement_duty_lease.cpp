/// The part of the placement's duty that takes the lease, renews it and hands
/// it over.

#include "placement_duty.hpp"

#include "lease_row_codec.hpp"

#include <barleyfork/base/log.hpp>

#include <algorithm>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

constexpr const char* lease_table = "barleyfork_lease";
constexpr const char* lease_key = "placement";

/// How long a holder acts without having renewed.
constexpr duration lease_validity{1700};
constexpr duration lease_renewal{600};
/// Slack for the time a message takes.
constexpr duration lease_slack{300};
/// What an earlier process of this instance sent has arrived after this.
constexpr duration own_restart_gap{500};
/// Until the others are known, a daemon with this share of a processor and
/// this link takes itself for well placed.
constexpr double full_share = 0.5;
constexpr double full_link_mbps = 200.0;
constexpr double most_unknown_handicap = 0.375;

/// Clocks of daemons are never compared: the row tells ages.
order_ages ages_of(const past_orders& orders, time_point now)
{
    order_ages ages;
    for (const auto& [server, at] : orders.last_order)
        ages.last_order.emplace(server, now - at);
    for (const auto at : orders.store_loads)
        ages.store_loads.push_back(now - at);
    return ages;
}

} // namespace

/// No server gets orders of two holders within this.
duration placement_duty::holder_gap(const schema::bound_settings_record& bounds)
{
    return duration(static_cast<std::int64_t>(bounds.holder_change_ms)) +
           lease_slack;
}

lease_options
placement_duty::make_lease_options(const schema::bound_settings_record& bounds)
{
    lease_options options;
    options.margin = holder_gap(bounds);
    options.term = lease_validity + options.margin;
    options.renewal = lease_renewal;
    return options;
}

/// Daemons with a narrow link let others try first.
holder_rank placement_duty::rank() const
{
    auto rank = news_.rank_as_holder();
    if (rank.daemons > 1)
        return rank;
    const auto& settings = context_.settings;
    const double processor = std::min(settings.cpu_share / full_share, 1.0);
    const double link = std::min(settings.link_mbps / full_link_mbps, 1.0);
    rank.handicap = most_unknown_handicap * (1.0 - std::min(processor, link));
    return rank;
}

double placement_duty::draw()
{
    return std::uniform_real_distribution<double>()(context_.random);
}

asio::awaitable<void> placement_duty::keep_lease()
{
    const bool held = lease_.held(boot_now());
    const bool hears_holder = news_.hears_holder(steady_now());
    if (!held) {
        turn_.hear(hears_holder, rank(), boot_now(), draw());
        if (!turn_.due(boot_now()))
            co_return;
        co_await read_lease();
    }
    co_await write_if_due(held, hears_holder);
    if (!held)
        turn_.looked(lease_.expires_at(), rank(), boot_now(), draw());
}

/// Renews a lease that is held, or takes one that has ended.
asio::awaitable<void> placement_duty::write_if_due(bool held, bool hears_holder)
{
    const auto id = context_.self.value() + "-" + std::to_string(++writes_) +
                    "-" + std::to_string(context_.random());
    const auto row = lease_.next_write(
        !hears_holder && context_.configuration != nullptr, id, boot_now());
    if (!row)
        co_return;
    if (!held)
        take_over(boot_now(), steady_now());
    wrote_ = true;
    co_await write_lease(*row);
    if (held || !lease_.held(boot_now()))
        co_return;
    log_event(log_level::info, "lease_taken")
        .with("lease", lease_key)
        .with("epoch", static_cast<std::int64_t>(lease_.epoch()))
        .with("orders_told", previous_.told ? "yes" : "no");
    watch_.set_holder(true);
    news_.begin_holding(lease_.epoch());
}

/// What the lease says of its last holder: one that let go and told its
/// orders, one that let go just before, or one whose term has ended.
void placement_duty::take_over(time_point now, time_point steady)
{
    previous_ = previous_holder();
    orders_from_ = time_point{};
    const auto gap = holder_gap(*context_.settings.bounds);
    if (lease_.version() == 0)
        return;
    if (!lease_.holder().empty()) {
        previous_.ended_at = steady - gap;
        return;
    }
    previous_.ended_at = steady;
    if (own_before_) {
        // Another holder's orders, where the row still names some, bind.
        orders_from_ = now + (left_orders_ ? gap : own_restart_gap);
        return;
    }
    if (!left_orders_) {
        orders_from_ = now + gap;
        return;
    }
    previous_.told.emplace();
    for (const auto& [server, age] : left_orders_->last_order)
        previous_.told->last_order.emplace(server, left_orders_seen_at_ - age);
    for (const auto age : left_orders_->store_loads)
        previous_.told->store_loads.push_back(left_orders_seen_at_ - age);
}

asio::awaitable<void> placement_duty::read_lease()
{
    context_.measures.count_store_call(store_purpose::lease, "read");
    const auto began = boot_now();
    const auto read =
        co_await context_.platform.store->read_row(lease_table, lease_key);
    if (read.error)
        co_return;
    note_store_clock(read.store_ms, began);
    observe(read);
}

/// The store's clock is at most what an answer said, plus the time since its
/// request was sent.
void placement_duty::note_store_clock(std::int64_t store_ms, time_point began)
{
    store_ms_ = store_ms;
    store_ms_at_ = began;
}

std::int64_t placement_duty::latest_store_ms(time_point now) const
{
    return store_ms_ == 0 ? 0 : store_ms_ + (now - store_ms_at_).count();
}

void placement_duty::observe(const store_read& read)
{
    const auto* row = read.rows.empty() ? nullptr : &read.rows.front();
    auto seen = row == nullptr ? stored_lease{} : decode_lease(row->value);
    // A process of this instance held it before; there is no other now.
    own_before_ = !wrote_ && seen.row.holder == context_.self &&
                  seen.holder_address == context_.settings.address;
    if (own_before_)
        seen.row.holder = instance_id();
    // A renewal that was held up on its way is as old as its sending.
    const duration age(
        seen.sent_ms == 0
            ? 0
            : std::max<std::int64_t>(read.store_ms - seen.sent_ms, 0));
    left_orders_ = std::move(seen.orders);
    left_orders_seen_at_ = steady_now() - age;
    lease_.observe(
        seen.row, row == nullptr ? 0 : row->version, boot_now(), age);
}

asio::awaitable<void> placement_duty::write_lease(lease_row row)
{
    context_.measures.count_store_call(store_purpose::lease, "write");
    const auto began = boot_now();
    stored_lease stored{
        row, context_.settings.address, latest_store_ms(began), std::nullopt};
    const auto others = orders_of_others(previous_, bounds(), steady_now());
    if (!others.last_order.empty())
        stored.orders = ages_of(others, steady_now());
    const auto text = encode_lease(stored);
    const auto written = co_await context_.platform.store->write_row(
        lease_table, lease_key, text, lease_.version());
    if (written.end != store_write_end::done) {
        co_await read_lease();
        co_return;
    }
    note_store_clock(written.store_ms, began);
    lease_.written(row, written.version, boot_now());
}

/// The row tells the next holder what still binds it; then the daemons hear
/// who that is to be.
asio::awaitable<void> placement_duty::release()
{
    stopping_ = true;
    const auto now = steady_now();
    const auto row = lease_.release("released", boot_now());
    const auto orders =
        orders_to_leave(previous_, recent_orders(now), bounds(), now);
    controllers_.clear();
    news_.set_holding(false, 0);
    if (!row)
        co_return;
    const auto successor = news_.successor(now);
    log_event(log_level::info, "lease_released")
        .with("lease", lease_key)
        .with("successor", successor.value());
    context_.measures.count_store_call(store_purpose::lease, "release");
    const auto text = encode_lease(
        {*row,
         std::string(),
         latest_store_ms(boot_now()),
         orders ? std::optional(ages_of(*orders, now)) : std::nullopt});
    const auto written = co_await context_.platform.store->write_row(
        lease_table, lease_key, text, lease_.version());
    if (written.end == store_write_end::done)
        news_.announce_release(row->epoch, successor);
}

/// Orders of all services.
past_orders placement_duty::recent_orders(time_point now) const
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

order_bounds placement_duty::bounds() const
{
    const auto& given = *context_.settings.bounds;
    return {holder_gap(given), seconds(given.load_window_s)};
}

/// Nobody holds the lease any more: the named daemon looks at once, others
/// when it should have been heard.
void placement_duty::on_released(bool named)
{
    turn_.released(named, rank(), boot_now(), draw());
}

} // namespace barleyfork
