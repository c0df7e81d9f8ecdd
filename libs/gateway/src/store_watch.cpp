#include "store_watch.hpp"

#include <barleyfork/base/log.hpp>

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <set>
#include <utility>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// Pause after a failed call; spread so that daemons don't come together, and
/// doubled with each further failure up to so many times.
constexpr std::int64_t shortest_pause_ms = 150;
constexpr std::int64_t longest_pause_ms = longest_first_pause.count();
constexpr int most_doublings = 2;
/// How often a daemon that leaves the reading to a neighbour looks again.
constexpr std::int64_t neighbour_tick_ms = 100;
/// A daemon that knows nothing waits for a neighbour's word this long.
constexpr duration longest_wait_for_neighbour{2000};

/// How often it is asked whether the list is due.
constexpr std::int64_t list_tick_ms = 150;

list_intervals make_intervals(const schema::gateway_settings_record& settings)
{
    const auto& store = *settings.store;
    list_intervals intervals;
    intervals.holder = duration(store.holder_interval_ms);
    intervals.reader = duration(store.server_interval_ms);
    intervals.floor = duration(store.relayed_interval_ms);
    return within_bound(
        intervals,
        duration(static_cast<std::int64_t>(settings.bounds->drain_ms)),
        duration(store.request_timeout_ms));
}

} // namespace

store_watch::store_watch(gateway_context& context)
    : context_(context),
      readers_({context.settings.link_mbps, context.self}, steady_now()),
      started_at_(steady_now()), list_(make_intervals(context.settings))
{
}

bool store_watch::table_position::advance(const store_read& read)
{
    if (read.version < version)
        return false;
    version = read.version;
    known = true;
    return true;
}

/// Decides anew whether this daemon reads for its neighbours.
bool store_watch::decide_reading(time_point now)
{
    const bool read_before = readers_.is_reader();
    const bool reads = readers_.decide(now);
    if (reads == read_before)
        return reads;
    if (!holder_)
        pass_on_from_here();
    log_event(log_level::info, reads ? "reading_began" : "reading_left")
        .with("configuration_position",
              static_cast<std::int64_t>(configuration_position_.version));
    return reads;
}

/// True while a neighbour reads the store and what is `known` here suffices.
bool store_watch::waits_for_neighbour(bool known, time_point now)
{
    const bool reads = decide_reading(now);
    return !reads && (known || now < started_at_ + longest_wait_for_neighbour);
}

std::int64_t store_watch::failure_pause_ms()
{
    std::uniform_int_distribution<std::int64_t> spread(shortest_pause_ms,
                                                       longest_pause_ms);
    const int doublings = std::min(failures_, most_doublings);
    ++failures_;
    return spread(context_.random) << doublings;
}

void store_watch::configuration_known_to(std::uint64_t position)
{
    if (position <= configuration_position_.version)
        return;
    configuration_position_.version = position;
    configuration_position_.known = true;
}

asio::awaitable<void> store_watch::follow_configuration()
{
    const auto table = context_.platform.configuration_table;
    const auto key = context_.platform.configuration_key;
    const duration wait(context_.settings.store->watch_wait_ms);
    auto& position = configuration_position_;
    for (;;) {
        if (waits_for_neighbour(context_.configuration != nullptr,
                                steady_now())) {
            co_await sleep_for_ms(neighbour_tick_ms);
            continue;
        }
        auto& store = *context_.platform.store;
        const bool whole = !position.known;
        context_.measures.count_store_call(store_purpose::configuration,
                                           whole ? "whole" : "changes");
        store_read read;
        if (whole)
            read = co_await store.read_row(table, key);
        else
            read = co_await store.read_changes(table, position.version, wait);
        if (read.error || !position.advance(read)) {
            if (kind_of(read.error.code) == errc::conflict)
                position.known = false;
            else
                set_reachable(!read.error, read.error);
            co_await sleep_for_ms(failure_pause_ms());
            continue;
        }
        set_reachable(true, {});
        for (const auto& row : read.rows)
            if (row.key == key && !row.deleted)
                take_configuration(row.value, "store");
        if (!context_.configuration)
            co_await sleep_for_ms(shortest_pause_ms);
    }
}

void store_watch::take_configuration(std::string_view bytes,
                                     std::string_view source)
{
    auto decoded = std::make_shared<gateway_configuration>();
    if (const auto error =
            context_.platform.decode_configuration(bytes, *decoded)) {
        log_event(log_level::error, "configuration_unreadable")
            .with("source", source)
            .with("error", error.message());
        return;
    }
    if (context_.configuration &&
        decoded->version <= context_.configuration->version)
        return;
    set_queue_targets(*decoded);
    log_event(log_level::info, "configuration_in_force")
        .with("version", static_cast<std::int64_t>(decoded->version))
        .with("source", source)
        .with("routes", static_cast<std::int64_t>(decoded->routes.size()));
    bytes_ = std::string(bytes);
    context_.measures.set_version(decoded->version);
    context_.configuration = std::move(decoded);
    context_.wake_waiting();
    if (on_configuration_)
        on_configuration_();
}

asio::awaitable<void> store_watch::follow_servers()
{
    for (;;) {
        const auto began = steady_now();
        const bool due = list_.known() ? is_list_due(began)
                                       : !waits_for_neighbour(false, began);
        if (!due) {
            end_round();
            co_await sleep_for_ms(list_.known() ? list_tick_ms
                                                : neighbour_tick_ms);
            continue;
        }
        const bool done = co_await read_list(began);
        end_round();
        co_await sleep_for_ms(done ? list_tick_ms : failure_pause_ms());
    }
}

/// Reads the list or its changes; false where that failed.
asio::awaitable<bool> store_watch::read_list(time_point began)
{
    const auto table = context_.platform.server_table;
    const bool whole = !list_.known();
    const auto position = list_.position();
    context_.measures.count_store_call(store_purpose::server_list,
                                       whole ? "whole" : "changes");
    auto& store = *context_.platform.store;
    store_read read;
    if (whole)
        read = co_await store.read_table(table);
    else
        read = co_await store.read_changes(table, position, duration{0});
    // An answer may come from the store's past.
    if (read.error || read.version < position) {
        if (kind_of(read.error.code) == errc::conflict)
            list_.forget();
        else
            set_reachable(!read.error, read.error);
        list_.want();
        co_return false;
    }
    set_reachable(true, {});
    const bool news = whole ? take_list(read.rows, read.version, began)
                            : take_changes(read.rows, log_level::info, began);
    list_.on_read(read.version, began);
    if (news)
        context_.wake_waiting();
    if (on_list_read_)
        on_list_read_();
    co_return true;
}

list_role store_watch::role() const noexcept
{
    if (holder_)
        return list_role::holder;
    return readers_.is_reader() ? list_role::reader : list_role::neighbour;
}

/// A daemon that lost the store looks for it itself.
bool store_watch::is_list_due(time_point now)
{
    decide_reading(now);
    const bool reader_heard = readers_.hears_reader(now);
    const auto step = list_.next(role(), reader_heard, now);
    if (step == list_step::ask_reader && on_missed_)
        on_missed_();
    return step == list_step::read_store || !reachable_;
}

/// Servers whose return was awaited for long enough are dropped, and calls
/// that wait look again.
void store_watch::end_round()
{
    for (const auto& gone : context_.directory.expire(steady_now())) {
        log_event(log_level::info, "server_gone").with("server", gone.value());
        list_.want();
    }
}

void store_watch::set_holder(bool holder)
{
    if (holder == holder_)
        return;
    holder_ = holder;
    pass_on_from_here();
}

/// What is passed on from now on begins after what is known now.
void store_watch::pass_on_from_here()
{
    to_relay_.clear();
    relayed_since_ = list_.position();
}

store_watch::relayed_rows store_watch::take_relayed_rows()
{
    // One that collects no changes can't claim to tell them all.
    if (role() == list_role::neighbour)
        return {};
    relayed_rows taken{relayed_since_, std::move(to_relay_)};
    pass_on_from_here();
    return taken;
}

void store_watch::take_told(const std::vector<store_row>& rows,
                            const list_claim& claim)
{
    if (!context_.servers_known)
        return;
    const bool news = take_changes(rows, log_level::debug, steady_now());
    if (claim.since > 0)
        list_.hear(claim);
    if (news)
        context_.wake_waiting();
}

/// Takes in the whole list as it was at `position`. What it changes is passed
/// on like single changes: daemons that are told rely on it.
bool store_watch::take_list(const std::vector<store_row>& rows,
                            std::uint64_t position,
                            time_point now)
{
    std::vector<backend_entry> entries;
    std::set<std::string> listed;
    const bool passes_on = role() != list_role::neighbour;
    for (const auto& row : rows) {
        listed.insert(row.key);
        auto& applied = rows_[row.key];
        if (passes_on && row.version > applied.row.version)
            to_relay_.push_back(row);
        applied = {row, row.version};
        if (auto entry = decode(row, log_level::info))
            entries.push_back(std::move(*entry));
    }
    for (auto& [key, applied] : rows_) {
        if (applied.row.deleted || listed.contains(key))
            continue;
        applied = {{key, {}, position, true}, position};
        if (passes_on)
            to_relay_.push_back(applied.row);
    }
    if (!drops_known_since_)
        drops_known_since_ = position;
    context_.directory.replace(entries, now);
    context_.servers_known = true;
    return true;
}

void store_watch::take_list_of_neighbour(const std::vector<store_row>& rows,
                                         const list_claim& claim)
{
    if (list_.known()) {
        take_told(rows, claim);
        return;
    }
    if (claim.position == 0 || claim.since > 0)
        return;
    take_list(rows, claim.position, steady_now());
    list_.on_read(claim.position, claim.known_at);
    context_.wake_waiting();
}

std::optional<std::vector<store_row>>
store_watch::rows_after(std::uint64_t position) const
{
    if (!drops_known_since_ || (position > 0 && position < *drops_known_since_))
        return std::nullopt;
    std::vector<store_row> rows;
    for (const auto& [key, applied] : rows_)
        if (applied.news_version > position &&
            (position > 0 || !applied.row.deleted))
            rows.push_back(applied.row);
    return rows;
}

/// Changes are applied in their order: a row may stand in them twice, and
/// they come both from the store and from other daemons. True where there was
/// news; whoever is woken by it may pass it on, so first the position has to
/// stand for what was taken in.
bool store_watch::take_changes(const std::vector<store_row>& rows,
                               log_level listed_level,
                               time_point now)
{
    bool changed = false;
    const bool passes_on = role() != list_role::neighbour;
    for (const auto& row : rows) {
        auto& applied = rows_[row.key];
        if (row.version <= applied.row.version)
            continue;
        applied.row = row;
        const auto entry = decode(row, listed_level);
        const auto* known =
            entry ? context_.directory.find(entry->id) : nullptr;
        const bool news =
            known == nullptr || known->missing_since ||
            !backend_entry::differ_in_heartbeats_only(known->entry, *entry);
        changed = changed || news;
        if (news)
            applied.news_version = row.version;
        if (news && passes_on)
            to_relay_.push_back(row);
        if (entry) {
            context_.directory.update(*entry);
            context_.crashes.on_listed({{entry->id, entry->held.started_ms},
                                        entry->address,
                                        entry->port});
            continue;
        }
        log_event(log_level::info, "server_unlisted")
            .with("server", row.key)
            .with("row_version", static_cast<std::int64_t>(row.version));
        context_.directory.remove(server_id(row.key), now);
    }
    return changed;
}

/// The server that a row names; nothing where it names none to use.
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

/// Those that read the store say which servers are new, so that hundreds of
/// daemons don't say so of hundreds of servers.
void store_watch::log_change(const backend_entry& entry,
                             log_level listed_level) const
{
    const auto* known = context_.directory.find(entry.id);
    if (known == nullptr && context_.servers_known)
        log_event(listed_level, "server_listed")
            .with("server", entry.id.value())
            .with("started_ms",
                  static_cast<std::int64_t>(entry.held.started_ms))
            .with("heartbeats", static_cast<std::int64_t>(entry.heartbeats));
    if (!entry.draining || (known != nullptr && known->entry.draining))
        return;
    log_event(log_level::info, "server_draining")
        .with("server", entry.id.value())
        .with("leaves_in_ms", entry.leaves_in ? entry.leaves_in->count() : -1);
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
