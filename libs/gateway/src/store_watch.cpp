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
constexpr std::int64_t longest_pause_ms = 450;
constexpr int most_doublings = 2;
/// How often a daemon that leaves the reading to a neighbour looks again.
constexpr std::int64_t neighbour_tick_ms = 100;
/// A daemon that knows nothing waits for a neighbour's word this long.
constexpr duration longest_wait_for_neighbour{2000};

/// How often it is asked whether the list is due.
constexpr std::int64_t list_tick_ms = 150;
/// The holder's word on the list stands this long after it came.
constexpr duration relay_silence{900};
/// A holder whose own reading is older than this does not vouch for the list.
constexpr duration list_freshness{800};

} // namespace

store_watch::store_watch(gateway_context& context)
    : context_(context),
      readers_({context.settings.link_mbps, context.self}, steady_now()),
      started_at_(steady_now())
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

/// True while a neighbour reads the store and what is `known` here suffices.
bool store_watch::waits_for_neighbour(bool known, time_point now)
{
    const bool read_before = readers_.is_reader();
    const bool reads = readers_.decide(now);
    if (reads != read_before)
        log_event(log_level::info, reads ? "reading_began" : "reading_left")
            .with("configuration_position",
                  static_cast<std::int64_t>(configuration_position_.version));
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
        context_.measures.count_store_call();
        auto& store = *context_.platform.store;
        const bool whole = !position.known;
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
    const auto table = context_.platform.server_table;
    auto& position = list_position_;
    for (;;) {
        const auto began = steady_now();
        const bool due = position.known ? is_list_due(began)
                                        : !waits_for_neighbour(false, began);
        if (!due) {
            end_round();
            co_await sleep_for_ms(position.known ? list_tick_ms
                                                 : neighbour_tick_ms);
            continue;
        }
        list_wanted_ = false;
        reading_list_ = true;
        context_.measures.count_store_call();
        auto& store = *context_.platform.store;
        const bool whole = !position.known;
        store_read read;
        if (whole)
            read = co_await store.read_table(table);
        else
            read = co_await store.read_changes(
                table, position.version, duration{0});
        reading_list_ = false;
        if (read.error || !position.advance(read)) {
            if (kind_of(read.error.code) == errc::conflict)
                position.known = false;
            else
                set_reachable(!read.error, read.error);
            list_wanted_ = true;
            end_round();
            co_await sleep_for_ms(failure_pause_ms());
            continue;
        }
        set_reachable(true, {});
        read_at_ = began;
        if (whole)
            take_list(read.rows, read.version, began);
        else
            take_changes(read.rows, began);
        end_round();
        co_await sleep_for_ms(list_tick_ms);
    }
}

/// Daemons that hear the holder's word read the list themselves only now and
/// then.
bool store_watch::is_list_due(time_point now) const
{
    const auto& settings = *context_.settings.store;
    const bool relayed = now < relayed_at_ + relay_silence &&
                         !context_.directory.awaits_return(now);
    const auto interval = relaying_ ? settings.holder_interval_ms
                          : relayed ? settings.relayed_interval_ms
                                    : settings.server_interval_ms;
    return list_wanted_ || now >= read_at_ + duration(interval);
}

/// Servers whose return was awaited for long enough are dropped, and calls
/// that wait look again.
void store_watch::end_round()
{
    for (const auto& gone : context_.directory.expire(steady_now())) {
        log_event(log_level::info, "server_gone").with("server", gone.value());
        list_wanted_ = true;
    }
}

/// A read that is wanted or under way closes a gap in the news: until then
/// the position stays before the gap.
void store_watch::list_relayed_at(time_point now,
                                  std::uint64_t position) noexcept
{
    relayed_at_ = now;
    if (list_position_.known && !list_wanted_ && !reading_list_)
        list_position_.version = std::max(list_position_.version, position);
}

void store_watch::set_relaying(bool relaying)
{
    relaying_ = relaying;
    to_relay_.clear();
}

std::vector<store_row> store_watch::take_relayed_rows()
{
    return std::exchange(to_relay_, {});
}

bool store_watch::list_is_fresh(time_point now) const noexcept
{
    return now < read_at_ + list_freshness;
}

void store_watch::take_relayed(const std::vector<store_row>& rows)
{
    if (context_.servers_known)
        take_changes(rows, steady_now());
}

/// Takes in the whole list as it was at `position`. What it changes is passed
/// on like single changes: daemons that hear the holder rely on it.
void store_watch::take_list(const std::vector<store_row>& rows,
                            std::uint64_t position,
                            time_point now)
{
    std::vector<backend_entry> entries;
    std::set<std::string> listed;
    for (const auto& row : rows) {
        listed.insert(row.key);
        auto& applied = rows_[row.key];
        if (relaying_ && row.version > applied.version)
            to_relay_.push_back(row);
        applied = row;
        if (auto entry = decode(row))
            entries.push_back(std::move(*entry));
    }
    for (auto& [key, row] : rows_) {
        if (row.deleted || listed.contains(key))
            continue;
        row = {key, {}, position, true};
        if (relaying_)
            to_relay_.push_back(row);
    }
    context_.directory.replace(entries, now);
    context_.servers_known = true;
    context_.wake_waiting();
}

void store_watch::take_list_of_neighbour(const std::vector<store_row>& rows,
                                         std::uint64_t position)
{
    if (list_position_.known || position == 0)
        return;
    list_position_ = {position, true};
    take_list(rows, position, steady_now());
}

std::vector<store_row> store_watch::list_rows() const
{
    std::vector<store_row> rows;
    for (const auto& [key, row] : rows_)
        if (!row.deleted)
            rows.push_back(row);
    return rows;
}

/// Changes are applied in their order: a row may stand in them twice, and
/// they come both from the store and from the holder.
void store_watch::take_changes(const std::vector<store_row>& rows,
                               time_point now)
{
    bool changed = false;
    for (const auto& row : rows) {
        auto& applied = rows_[row.key];
        if (row.version <= applied.version)
            continue;
        applied = row;
        if (const auto entry = decode(row)) {
            const auto* known = context_.directory.find(entry->id);
            const bool news =
                known == nullptr || known->missing_since ||
                !backend_entry::differ_in_heartbeats_only(known->entry, *entry);
            changed = changed || news;
            if (relaying_ && news)
                to_relay_.push_back(row);
            context_.directory.update(*entry);
            continue;
        }
        changed = true;
        if (relaying_)
            to_relay_.push_back(row);
        log_event(log_level::info, "server_unlisted")
            .with("server", row.key)
            .with("row_version", static_cast<std::int64_t>(row.version));
        context_.directory.remove(server_id(row.key), now);
    }
    if (changed)
        context_.wake_waiting();
}

/// The server that a row names; nothing where it names none to use.
std::optional<backend_entry> store_watch::decode(const store_row& row) const
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
    log_leaving(entry);
    return entry;
}

void store_watch::log_leaving(const backend_entry& entry) const
{
    const auto* known = context_.directory.find(entry.id);
    if (known == nullptr && context_.servers_known)
        log_event(log_level::info, "server_listed")
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
