#include "store_watch.hpp"

#include <barleyfork/base/log.hpp>

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <set>
#include <utility>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// Delay after a failed call. It is random, so that daemons do not retry at the
/// same time, and doubles with each further failure, at most `max_doublings`
/// times.
constexpr std::int64_t max_retry_delay_ms = max_first_retry_delay.count();
constexpr int max_doublings = 2;
/// How long a daemon that knows nothing yet waits for a neighbour's message.
constexpr duration max_neighbour_wait{2000};

/// Returns the intervals with which a change is known within `bound_ms`.
follower_intervals
make_intervals(const schema::gateway_settings_record& settings, double bound_ms)
{
    const auto& store = *settings.store;
    follower_intervals intervals;
    intervals.holder = duration(store.holder_interval_ms);
    intervals.reader = duration(store.server_interval_ms);
    intervals.floor = duration(store.relayed_interval_ms);
    return shorten_to_bound(intervals,
                            duration(static_cast<std::int64_t>(bound_ms)),
                            duration(store.request_timeout_ms));
}

/// Returns the time within which a change of the configuration must be known:
/// where knowledge that is too old accepts no key, it is confirmed in time for
/// that too.
double configuration_bound_ms(const schema::bound_settings_record& bounds)
{
    const bool limits_keys =
        bounds.revocation_fails_closed && bounds.revocation_ms > 0.0;
    return limits_keys ? std::min(bounds.configuration_ms, bounds.revocation_ms)
                       : bounds.configuration_ms;
}

} // namespace

store_watch::store_watch(gateway_context& context)
    : context_(context),
      readers_({context.settings.link_mbps, context.self}, steady_now()),
      started_at_(steady_now()),
      configuration_(make_intervals(
          context.settings, configuration_bound_ms(*context.settings.bounds))),
      list_(make_intervals(context.settings, context.settings.bounds->drain_ms))
{
}

/// Decides again whether this daemon reads for its neighbours. Returns whether
/// it does.
bool store_watch::update_reader_role(time_point now)
{
    const bool was_reader = readers_.is_reader();
    const bool is_reader = readers_.decide(now);
    if (is_reader == was_reader)
        return is_reader;
    if (!holder_)
        restart_relay();
    log_event(log_level::info, is_reader ? "reading_began" : "reading_left")
        .with("configuration_position",
              static_cast<std::int64_t>(configuration_.position().number()));
    return is_reader;
}

/// Returns whether this daemon relies on a neighbour's reads: it is no reader
/// itself, and the data is known here or may still arrive from a neighbour.
bool store_watch::waits_for_neighbour(bool known, time_point now)
{
    const bool is_reader = update_reader_role(now);
    return !is_reader && (known || now < started_at_ + max_neighbour_wait);
}

std::int64_t store_watch::draw_retry_delay_ms()
{
    std::uniform_int_distribution<std::int64_t> spread(min_retry_delay_ms,
                                                       max_retry_delay_ms);
    const int doublings = std::min(failures_, max_doublings);
    ++failures_;
    return spread(context_.random) << doublings;
}

asio::awaitable<void> store_watch::follow_servers()
{
    for (;;) {
        const auto began = steady_now();
        const bool due = list_.known() ? is_list_due(began)
                                       : !waits_for_neighbour(false, began);
        if (!due) {
            expire_servers();
            co_await sleep_for_ms(list_.known() ? read_poll_ms
                                                : neighbour_poll_ms);
            continue;
        }
        const bool done = co_await read_list(began);
        expire_servers();
        co_await sleep_for_ms(done ? read_poll_ms : draw_retry_delay_ms());
    }
}

/// Reads the list or its changes. Returns false if the read failed.
asio::awaitable<bool> store_watch::read_list(time_point began)
{
    const auto table = context_.platform.server_table;
    const bool is_full_read = !list_.known();
    const auto position = list_.position();
    context_.measures.count_store_call(store_purpose::server_list,
                                       is_full_read ? "whole" : "changes");
    auto& store = *context_.platform.store;
    store_read read;
    if (is_full_read)
        read = co_await store.read_table(table);
    else
        read = co_await store.read_changes(table, position, duration{0});
    // A response may reflect an older state of the store.
    if (read.error || read.version < position) {
        if (kind_of(read.error.code) == errc::conflict)
            list_.forget();
        else
            set_reachable(!read.error, read.error);
        list_.request_refresh();
        co_return false;
    }
    set_reachable(true, {});
    // Changes after a version of an earlier era are not complete.
    if (!is_full_read && read.version.era() != position.era()) {
        list_.forget();
        co_return co_await read_list(began);
    }
    const bool has_changes =
        is_full_read ? apply_list(read.rows, read.version, began)
                     : apply_changes(read.rows, log_level::info, began);
    list_.on_read(read.version, began);
    if (has_changes)
        context_.wake_waiting_calls();
    if (on_list_read_)
        on_list_read_();
    co_return true;
}

follower_role store_watch::role() const noexcept
{
    if (holder_)
        return follower_role::holder;
    return readers_.is_reader() ? follower_role::reader
                                : follower_role::neighbour;
}

/// Returns whether the list is to be read from the store. A daemon that cannot
/// reach the store keeps trying, to notice when the store is reachable again.
bool store_watch::is_list_due(time_point now)
{
    update_reader_role(now);
    const bool has_reader = readers_.has_live_reader(now);
    const auto step = list_.next(role(), has_reader, now);
    if (step == follower_step::ask_reader && on_changes_missed_)
        on_changes_missed_();
    return step == follower_step::read_store || !reachable_;
}

/// Removes servers that did not return within their grace period, and requests
/// a read of the list if any were removed.
void store_watch::expire_servers()
{
    const auto expired =
        context_.directory.expire(steady_now(), list_.known_at());
    for (const auto& removed : expired) {
        log_event(log_level::info, "server_gone")
            .with("server", removed.value());
        list_.request_refresh();
    }
}

void store_watch::set_holder(bool holder)
{
    if (holder == holder_)
        return;
    holder_ = holder;
    restart_relay();
}

/// Discards the collected changes; changes relayed from now on start after the
/// position known now.
void store_watch::restart_relay()
{
    to_relay_.clear();
    relayed_since_ = list_.position();
}

store_watch::relayed_rows store_watch::take_relayed_rows()
{
    // A daemon that collects no changes cannot claim that they are complete.
    if (role() == follower_role::neighbour)
        return {};
    relayed_rows taken{relayed_since_, std::move(to_relay_)};
    restart_relay();
    return taken;
}

void store_watch::apply_relayed_rows(const std::vector<store_row>& rows,
                                     const table_claim& claim)
{
    if (!context_.has_server_list)
        return;
    const bool has_changes =
        apply_changes(rows, log_level::debug, steady_now());
    if (claim.since.is_known())
        list_.on_peer_state(claim);
    expire_servers();
    if (has_changes)
        context_.wake_waiting_calls();
}

/// Applies the complete list as of `position`. Its changes are relayed like
/// single changes, because the receiving daemons rely on them being complete.
bool store_watch::apply_list(const std::vector<store_row>& rows,
                             store_version position,
                             time_point now)
{
    std::vector<backend_entry> entries;
    std::set<std::string> listed;
    const bool relays_changes = role() != follower_role::neighbour;
    for (const auto& row : rows) {
        listed.insert(row.key);
        auto& applied = rows_[row.key];
        auto entry = decode(row, log_level::info);
        if (entry && is_outdated(applied, row, *entry)) {
            // What is known stays in force and has the row's new version.
            applied.row.version = row.version;
            entry = decode(applied.row, log_level::debug);
        }
        else {
            if (relays_changes && row.version > applied.row.version &&
                is_substantive(entry))
                to_relay_.push_back(row);
            applied.row = row;
            applied.content_version = row.version;
            if (entry)
                applied.progress = progress_of(*entry);
        }
        if (entry)
            entries.push_back(std::move(*entry));
    }
    for (auto& [key, applied] : rows_) {
        if (applied.row.deleted || listed.contains(key))
            continue;
        applied.row = {key, {}, position, true};
        applied.content_version = position;
        if (relays_changes)
            to_relay_.push_back(applied.row);
    }
    const bool is_new_era =
        removals_known_since_ && removals_known_since_->era() != position.era();
    if (!removals_known_since_ || is_new_era)
        removals_known_since_ = position;
    context_.directory.replace(entries, now);
    context_.has_server_list = true;
    return true;
}

void store_watch::apply_neighbour_list(const std::vector<store_row>& rows,
                                       const table_claim& claim)
{
    const bool is_of_known_era = claim.position.era() == list_.position().era();
    if (list_.known() && is_of_known_era) {
        apply_relayed_rows(rows, claim);
        return;
    }
    if (!claim.position.is_known() || claim.since.is_known() ||
        claim.position < list_.position())
        return;
    apply_list(rows, claim.position, steady_now());
    list_.on_read(claim.position, claim.known_at);
    context_.wake_waiting_calls();
}

std::optional<std::vector<store_row>>
store_watch::rows_after(store_version position) const
{
    if (!removals_known_since_ ||
        (position.is_known() && position < *removals_known_since_))
        return std::nullopt;
    std::vector<store_row> rows;
    for (const auto& [key, applied] : rows_)
        if (applied.content_version > position &&
            (position.is_known() || !applied.row.deleted))
            rows.push_back(applied.row);
    return rows;
}

/// Applies changes in their order: a row may occur in them twice, and they
/// arrive both from the store and from other daemons. Returns whether anything
/// but heartbeats changed. The caller must update the position before it wakes
/// waiting calls, since these may relay the changes.
bool store_watch::apply_changes(const std::vector<store_row>& rows,
                                log_level listed_level,
                                time_point now)
{
    bool changed = false;
    const bool relays_changes = role() != follower_role::neighbour;
    for (const auto& row : rows) {
        auto& applied = rows_[row.key];
        if (row.version <= applied.row.version)
            continue;
        const auto entry = decode(row, listed_level);
        if (entry && is_outdated(applied, row, *entry)) {
            applied.row.version = row.version;
            continue;
        }
        applied.row = row;
        const bool is_change = is_substantive(entry);
        changed = changed || is_change;
        if (is_change)
            applied.content_version = row.version;
        if (is_change && relays_changes)
            to_relay_.push_back(row);
        if (entry) {
            applied.progress = progress_of(*entry);
            context_.directory.update(*entry);
            context_.crashes.on_process_listed(
                {{entry->id, entry->held.started_ms},
                 entry->address,
                 entry->port});
            continue;
        }
        log_event(log_level::info, "server_unlisted")
            .with("server", row.key)
            .with("row_version",
                  static_cast<std::int64_t>(row.version.number()));
        context_.directory.remove(server_id(row.key), now);
    }
    return changed;
}

store_watch::server_progress
store_watch::progress_of(const backend_entry& entry) noexcept
{
    return {entry.held.started_ms, entry.heartbeats};
}

/// Returns whether a row is older than what was known before the store was
/// restored: a backup may list a server as it was before it left.
bool store_watch::is_outdated(const applied_row& applied,
                              const store_row& row,
                              const backend_entry& entry)
{
    if (!applied.row.version.is_known() ||
        row.version.era() <= applied.row.version.era())
        return false;
    const auto progress = progress_of(entry);
    return progress < applied.progress ||
           (progress == applied.progress && applied.row.deleted);
}

/// Returns whether a row changes more than heartbeats; it has no entry if its
/// server was removed.
bool store_watch::is_substantive(
    const std::optional<backend_entry>& entry) const
{
    const auto* known = entry ? context_.directory.find(entry->id) : nullptr;
    return known == nullptr || known->missing_since ||
           !backend_entry::differ_in_heartbeats_only(known->entry, *entry);
}

/// Decodes the server of a row. Returns nothing for a deleted or unreadable
/// row.
std::optional<backend_entry> store_watch::decode(const store_row& row,
                                                 log_level listed_level) const
{
    if (row.deleted)
        return std::nullopt;
    backend_entry entry;
    if (const auto error =
            context_.platform.decode_server(row.key, row.value, entry))
    {
        log_event(log_level::warn, "server_entry_ignored")
            .with("server", row.key)
            .with("error", error.detail);
        return std::nullopt;
    }
    log_change(entry, listed_level);
    return entry;
}

/// Logs new and draining servers. The level for new servers is higher on
/// daemons that read the store, so that hundreds of daemons do not each log
/// hundreds of servers.
void store_watch::log_change(const backend_entry& entry,
                             log_level listed_level) const
{
    const auto* known = context_.directory.find(entry.id);
    if (known == nullptr && context_.has_server_list)
        log_event(listed_level, "server_listed")
            .with("server", entry.id.value())
            .with("started_ms",
                  static_cast<std::int64_t>(entry.held.started_ms))
            .with("heartbeats", static_cast<std::int64_t>(entry.heartbeats));
    if (!entry.draining || (known != nullptr && known->entry.draining))
        return;
    log_event(log_level::info, "server_draining")
        .with("server", entry.id.value())
        .with("leaves_in_ms",
              entry.shuts_down_in ? entry.shuts_down_in->count() : -1);
}

void store_watch::set_reachable(bool reachable, const failure& error)
{
    context_.directory.set_store_reachable(reachable, steady_now());
    if (reachable)
        failures_ = 0;
    if (reachable == reachable_)
        return;
    reachable_ = reachable;
    log_event(log_level::warn, reachable ? "store_back" : "store_lost")
        .with("error", error ? error.detail : "");
}

} // namespace barleyfork
