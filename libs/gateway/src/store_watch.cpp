#include "store_watch.hpp"

#include <barleyfork/base/log.hpp>

#include <boost/asio/awaitable.hpp>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// Pause after a failed call; spread so that daemons don't come together.
constexpr std::int64_t shortest_pause_ms = 150;
constexpr std::int64_t longest_pause_ms = 450;

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
            context_.platform.decode_configuration(bytes, *decoded))
    {
        log_event(log_level::error, "configuration_unreadable")
            .with("source", source)
            .with("error", error.message());
        return;
    }
    if (context_.configuration &&
        decoded->version <= context_.configuration->version)
        return;
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
        const auto began = steady_now();
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
            co_await sleep_for_ms(pause_ms(context_.random));
            continue;
        }
        set_reachable(true, {});
        take_rows(read, whole);
        const auto next =
            began + duration(context_.settings.store->server_interval_ms);
        const auto left = next - steady_now();
        if (left.count() > 0)
            co_await sleep_for_ms(left.count());
    }
}

void store_watch::take_rows(const store_read& read, bool whole)
{
    const auto now = steady_now();
    if (whole)
        take_list(read, now);
    else
        take_changes(read, now);
    for (const auto& gone : context_.directory.expire(now))
        log_event(log_level::info, "server_gone").with("server", gone.value());
    context_.wake_waiting();
}

void store_watch::take_list(const store_read& read, time_point now)
{
    std::vector<backend_entry> entries;
    for (const auto& row : read.rows)
        if (auto entry = decode(row))
            entries.push_back(std::move(*entry));
    context_.directory.replace(entries, now);
    context_.servers_known = true;
}

/// Changes are applied in their order: a row may stand in them twice.
void store_watch::take_changes(const store_read& read, time_point now)
{
    for (const auto& row : read.rows) {
        if (const auto entry = decode(row)) {
            context_.directory.update(*entry);
            continue;
        }
        log_event(log_level::info, "server_unlisted")
            .with("server", row.key)
            .with("row_version", static_cast<std::int64_t>(row.version));
        context_.directory.remove(server_id(row.key), now);
    }
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
