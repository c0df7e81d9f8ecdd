/// The part of the store watch that follows the operators' configuration.

#include "store_watch.hpp"

#include <barleyfork/base/log.hpp>

#include <algorithm>
#include <utility>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// The fraction of the bound on changes after which an unconfirmed
/// configuration is reported.
constexpr double reported_fraction = 0.8;
/// Time from the start of a call that waits for changes to the next one. How
/// long the call waits is up to the store, which may answer at once.
constexpr duration min_watch_interval{100};
/// The number of faults of one version that are logged; the metric counts all.
constexpr std::size_t max_logged_faults = 20;

} // namespace

void store_watch::confirm_configuration(store_version position,
                                        time_point known_at)
{
    configuration_.on_confirmed(position, known_at);
    context_.configuration_known_at = configuration_.known_at();
}

void store_watch::confirm_keys(time_point at)
{
    auto& known = context_.configuration_confirmed_at;
    if (!is_newest_unreadable_ && (!known || at > *known))
        known = at;
}

/// Records a read of the configuration. It confirms nothing about keys while
/// the store may lack a newer version that it acknowledged before it was
/// restored.
void store_watch::confirm_keys_by_read(const unproven_read& read)
{
    if (context_.is_store_complete(read.began)) {
        unproven_read_.reset();
        confirm_keys(read.began);
        return;
    }
    // A call that waited for a change may have begun long ago.
    if (context_.is_store_complete(boot_now()))
        return;
    if (!unproven_read_ || unproven_read_->era != read.era)
        log_event(log_level::info, "configuration_unproven")
            .with("version", static_cast<std::int64_t>(configuration_version()))
            .with("store_era", static_cast<std::int64_t>(read.era));
    unproven_read_ = read;
}

void store_watch::on_store_complete()
{
    if (unproven_read_ && unproven_read_->era == context_.era().current())
        confirm_keys_by_read(*unproven_read_);
}

/// Returns the age from which the known configuration is reported, before the
/// operators' bound has passed.
duration store_watch::max_unconfirmed_age() const
{
    const double bound_ms = context_.settings.bounds->configuration_ms;
    return duration(static_cast<std::int64_t>(reported_fraction * bound_ms));
}

/// Logs once that nothing has confirmed the configuration for too long, and
/// once that something did.
void store_watch::report_configuration_age(time_point now)
{
    const auto age = now - context_.configuration_known_at;
    const bool is_unconfirmed =
        context_.configuration && age >= max_unconfirmed_age();
    if (is_unconfirmed == is_configuration_unconfirmed_)
        return;
    is_configuration_unconfirmed_ = is_unconfirmed;
    log_event(is_unconfirmed ? log_level::warn : log_level::info,
              is_unconfirmed ? "configuration_unconfirmed"
                             : "configuration_confirmed")
        .with("version", static_cast<std::int64_t>(configuration_version()))
        .with("age_ms", age.count())
        .with("reads", readers_.is_reader() ? "true" : "false");
}

std::uint64_t store_watch::configuration_version() const noexcept
{
    return context_.configuration ? context_.configuration->version : 0;
}

asio::awaitable<void> store_watch::follow_configuration()
{
    const duration wait(context_.settings.store->watch_wait_ms);
    for (;;) {
        if (waits_for_neighbour(context_.configuration != nullptr,
                                steady_now())) {
            co_await sleep_for_ms(neighbour_poll_ms);
            continue;
        }
        const auto began = steady_now();
        const bool done = co_await read_configuration(wait);
        if (!done)
            co_await sleep_for_ms(draw_retry_delay_ms());
        else if (!context_.configuration)
            co_await sleep_for_ms(min_retry_delay_ms);
        else if (const auto rest = began + min_watch_interval - steady_now();
                 rest > duration{0})
            co_await sleep_for_ms(rest.count());
    }
}

asio::awaitable<void> store_watch::check_configuration()
{
    for (;;) {
        co_await sleep_for_ms(read_poll_ms);
        const auto now = steady_now();
        report_configuration_age(now);
        if (!is_configuration_due(now))
            continue;
        if (!co_await read_configuration(duration{0}))
            co_await sleep_for_ms(draw_retry_delay_ms());
    }
}

/// Returns whether the configuration is to be read from the store at once. The
/// reads of the list notice when the store is reachable again.
bool store_watch::is_configuration_due(time_point now)
{
    if (!context_.configuration || !reachable_)
        return false;
    const bool has_reader = readers_.has_live_reader(now);
    return configuration_.next(role(), has_reader, now) ==
               follower_step::read_store ||
           is_key_knowledge_due();
}

/// Returns whether the configuration is read because of the bound on withdrawn
/// keys: what other daemons say may be newer by their word than the store's
/// clock proves.
bool store_watch::is_key_knowledge_due() const
{
    const auto bound = context_.bounds_of_keys().revocation;
    if (bound <= duration{0} || !context_.configuration->requires_keys ||
        !context_.is_store_complete(boot_now()))
        return false;
    const auto age = context_.confirmed_age();
    return !age || *age > bound / 2;
}

/// Reads the configuration or its changes, and waits up to `wait` for a change.
/// Returns false if the read failed.
asio::awaitable<bool> store_watch::read_configuration(duration wait)
{
    const auto table = context_.platform.configuration_table;
    const auto key = context_.platform.configuration_key;
    const bool is_full_read = !configuration_.known();
    const auto position = configuration_.position();
    context_.measures.count_store_call(store_purpose::configuration,
                                       is_full_read         ? "whole"
                                       : wait > duration{0} ? "changes"
                                                            : "check");
    const auto began = steady_now();
    const auto boot_began = boot_now();
    auto& store = *context_.platform.store;
    store_read read;
    if (is_full_read)
        read = co_await store.read_row(table, key);
    else
        read = co_await store.read_changes(table, position, wait);
    // Another call may have read more meanwhile, and a response may reflect an
    // older state of the store.
    const bool is_history_gone =
        read.error && kind_of(read.error.code) == errc::conflict;
    if (is_history_gone && !is_full_read) {
        // The store answers, so there is nothing to wait for.
        configuration_.forget();
        co_return co_await read_configuration(wait);
    }
    if (read.error || read.version < configuration_.position()) {
        if (!is_history_gone)
            set_reachable(!read.error, read.error);
        co_return false;
    }
    // Changes after a version of an earlier era are not complete.
    if (!is_full_read && read.version.era() != position.era()) {
        configuration_.forget();
        co_return co_await read_configuration(wait);
    }
    set_reachable(true, {});
    configuration_.on_read(read.version, began);
    context_.configuration_known_at = configuration_.known_at();
    for (const auto& row : read.rows)
        if (row.key == key && !row.deleted)
            is_newest_unreadable_ = !apply_configuration(row.value, "store");
    confirm_keys_by_read({read.version.era(), boot_began});
    co_return true;
}

bool store_watch::apply_configuration(std::string_view bytes,
                                      std::string_view source)
{
    auto decoded = std::make_shared<gateway_configuration>();
    if (const auto error =
            context_.platform.decode_configuration(bytes, *decoded)) {
        log_event(log_level::error, "configuration_unreadable")
            .with("source", source)
            .with("error", error.message());
        return false;
    }
    if (context_.configuration &&
        decoded->version <= context_.configuration->version)
        return true;
    is_newest_unreadable_ = false;
    derive_from_entries(*decoded);
    log_event(log_level::info, "configuration_in_force")
        .with("version", static_cast<std::int64_t>(decoded->version))
        .with("source", source)
        .with("routes", static_cast<std::int64_t>(decoded->routes.size()));
    log_faults(*decoded);
    bytes_ = decoded->requires_keys ? context_.platform.conceal_keys(bytes)
                                    : std::string(bytes);
    context_.measures.set_configuration(decoded->version,
                                        decoded->faults.size());
    context_.set_configuration(std::move(decoded));
    context_.wake_waiting_calls();
    if (on_configuration_)
        on_configuration_();
    return true;
}

/// Logs what of a version is not in force; never the values, which may be keys.
void store_watch::log_faults(const gateway_configuration& configuration) const
{
    const auto count = std::min(configuration.faults.size(), max_logged_faults);
    for (std::size_t i = 0; i < count; ++i)
        log_event(log_level::error, "configuration_fault")
            .with("version", static_cast<std::int64_t>(configuration.version))
            .with("place", configuration.faults[i].place)
            .with("reason", configuration.faults[i].reason)
            .with("of", static_cast<std::int64_t>(configuration.faults.size()));
}

} // namespace barleyfork
