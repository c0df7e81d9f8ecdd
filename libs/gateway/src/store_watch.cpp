#include "store_watch.hpp"

#include <barleyfork/base/log.hpp>

#include <boost/asio/awaitable.hpp>
#include <utility>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// Pause after a failed call; spread so that daemons don't come together.
constexpr std::int64_t shortest_pause_ms = 150;
constexpr std::int64_t longest_pause_ms = 450;

/// How often it is asked whether the list is due.
constexpr std::int64_t list_tick_ms = 150;
/// The holder's word on the list stands this long after it came.
constexpr duration relay_silence{900};
/// A holder whose own reading is older than this does not vouch for the list.
constexpr duration list_freshness{800};

std::int64_t pause_ms(std::mt19937_64& random)
{
    std::uniform_int_distribution<std::int64_t> spread(shortest_pause_ms,
                                                       longest_pause_ms);
    return spread(random);
}

/// How far one table has been read.
struct table_position
{
    std::uint64_t version = 0;
    bool known = false;

    /// Takes in an answer; false for one from the store's past.
    bool advance(const store_read& read)
    {
        if (read.version < version)
            return false;
        version = read.version;
        known = true;
        return true;
    }
};

} // namespace

store_watch::store_watch(gateway_context& context) : context_(context) {}

asio::awaitable<void> store_watch::follow_configuration()
{
    const auto table = context_.platform.configuration_table;
    const auto key = context_.platform.configuration_key;
    const duration wait(context_.settings.store->watch_wait_ms);
    table_position position;
    for (;;) {
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
            co_await sleep_for_ms(pause_ms(context_.random));
            continue;
        }
        set_reachable(true, {});
        for (const auto& row : read.rows)
            if (row.key == key && !row.deleted)
                take_configuration(row.value, "store");
        if (!context_.configuration)
            co_await sleep_for_ms(pause_ms(context_.random));
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
}

asio::awaitable<void> store_watch::follow_servers()
{
    const auto table = context_.platform.server_table;
    table_position position;
    for (;;) {
        co_await sleep_for_ms(position.known ? list_tick_ms : 0);
        const auto began = steady_now();
        if (position.known && !is_list_due(began)) {
            end_round();
            continue;
        }
        list_wanted_ = false;
        context_.measures.count_store_call();
        auto& store = *context_.platform.store;
        const bool whole = !position.known;
        store_read read;
        if (whole)
            read = co_await store.read_table(table);
        else
            read = co_await store.read_changes(
                table, position.version, duration{0});
        if (read.error || !position.advance(read)) {
            if (kind_of(read.error.code) == errc::conflict)
                position.known = false;
            else
                set_reachable(!read.error, read.error);
            list_wanted_ = true;
            end_round();
            co_await sleep_for_ms(pause_ms(context_.random));
            continue;
        }
        set_reachable(true, {});
        read_at_ = began;
        if (whole)
            take_list(read, began);
        else
            take_changes(read.rows, began);
        end_round();
    }
}

/// Daemons that hear the holder's word read the list themselves only now and
/// then.
bool store_watch::is_list_due(time_point now) const
{
    const auto& settings = *context_.settings.store;
    const bool relayed = now < relayed_at_ + relay_silence;
    const auto interval = relaying_ ? settings.holder_interval_ms
                          : relayed ? settings.relayed_interval_ms
                                    : settings.server_interval_ms;
    return list_wanted_ || now >= read_at_ + duration(interval);
}

/// Servers whose return was awaited for long enough are dropped, and calls
/// that wait look again.
void store_watch::end_round()
{
    for (const auto& gone : context_.directory.expire(steady_now()))
        log_event(log_level::info, "server_gone").with("server", gone.value());
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

void store_watch::take_list(const store_read& read, time_point now)
{
    std::vector<backend_entry> entries;
    for (const auto& row : read.rows) {
        row_versions_[row.key] = row.version;
        if (auto entry = decode(row))
            entries.push_back(std::move(*entry));
    }
    context_.directory.replace(entries, now);
    context_.servers_known = true;
    context_.wake_waiting();
}

/// Changes are applied in their order: a row may stand in them twice, and
/// they come both from the store and from the holder.
void store_watch::take_changes(const std::vector<store_row>& rows,
                               time_point now)
{
    bool changed = false;
    for (const auto& row : rows) {
        auto& applied = row_versions_[row.key];
        if (row.version <= applied)
            continue;
        applied = row.version;
        changed = true;
        if (relaying_)
            to_relay_.push_back(row);
        if (const auto entry = decode(row)) {
            context_.directory.update(*entry);
            continue;
        }
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
    if (reachable == reachable_)
        return;
    reachable_ = reachable;
    log_event(log_level::warn, reachable ? "store_back" : "store_lost")
        .with("error", error ? error.detail : "");
}

} // namespace barleyfork
