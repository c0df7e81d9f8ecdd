#ifndef BARLEYFORK_CORE_BACKEND_DIRECTORY_HPP
#define BARLEYFORK_CORE_BACKEND_DIRECTORY_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/core/gateway_configuration.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace barleyfork {

/// A model that is resident on a backend server, with its loaded adapters.
struct resident_model_state
{
    model_id model;
    /// True if requests for the model may be sent; false while an order for it
    /// is in progress.
    bool ready = true;
    std::vector<std::string> adapters;

    bool has_adapter(const std::string& adapter) const;

    friend bool operator==(const resident_model_state&,
                           const resident_model_state&) = default;
};

/// The models that are resident on one process of a backend server.
struct resident_state
{
    /// Start time of the process in Unix milliseconds; identifies the process.
    std::uint64_t started_ms = 0;
    std::vector<resident_model_state> models;

    const resident_model_state* find(const model_id& model) const;

    friend bool operator==(const resident_state&,
                           const resident_state&) = default;
};

/// An entry of the platform's list of backend servers.
struct backend_entry
{
    server_id id;
    service_id service;
    std::string address;
    std::uint16_t port = 0;
    failure_domain_id failure_domain;
    bool draining = false;
    /// Time until the server shuts down, if it has announced its shutdown.
    std::optional<duration> shuts_down_in;
    std::uint32_t slots = 1;
    /// Number of heartbeats that the process had sent.
    std::uint64_t heartbeats = 0;
    resident_state held;
    /// Models whose weights are in the server's memory or on its disk, so that
    /// a load is quick.
    std::vector<model_id> in_memory;
    std::vector<model_id> on_disk;

    /// Returns true if the entries differ at most in their heartbeats and in
    /// the value of `shuts_down_in`, which decreases by itself.
    static bool differ_in_heartbeats_only(const backend_entry& earlier,
                                          const backend_entry& later);
};

/// The position of an update in the order of all updates that placement's lease
/// holders send.
struct update_position
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const update_position&,
                            const update_position&) = default;
};

/// The state of a backend server as known to this daemon.
struct backend_state
{
    backend_entry entry;
    /// The state in the last update of placement's lease holder, and the
    /// position of that update.
    std::optional<resident_state> announced_state;
    update_position announced_position;
    /// When the server disappeared from the list; set only while the server is
    /// expected to be listed again.
    std::optional<time_point> missing_since;
    /// End of the period in which the announced state takes precedence over the
    /// list, which lags behind.
    time_point announcement_valid_until{};
    /// Models and adapters that the server refused as not loaded; no request
    /// for them is sent to the server before the time given.
    std::map<std::pair<model_id, std::string>, time_point> refusals;
    /// True if another process responded at the server's address. The server is
    /// not used until the list shows a new process or address for it.
    bool is_misdirected = false;
    /// True if the process announced its shutdown in a response; takes
    /// precedence over the list.
    bool announced_shutdown = false;
    /// End of the Retry-After period of the process, which rejected a request.
    time_point rejects_until{};

    /// Returns the announced state while it is valid and of the listed process,
    /// otherwise the state of the list.
    const resident_state& held(time_point now) const;

    /// Returns true if new requests may be sent to the server.
    bool usable() const noexcept
    {
        return !entry.draining && !is_misdirected && !announced_shutdown;
    }

    /// Returns true while the server's Retry-After period lasts.
    bool rejects_requests(time_point now) const noexcept
    {
        return now < rejects_until;
    }
};

/// How much of the model and adapter of a request is resident on a server.
enum class holding : std::uint8_t
{
    /// The model is not resident.
    none,
    /// The model is resident, but not the adapter.
    model_only,
    /// The model is resident, and so is the adapter if one is requested.
    all,
};

/// The backend servers of the platform's list, with what this daemon knows of
/// them from other sources.
///
/// Invariant: a server that is draining in the list or removed from it receives
/// no new requests. Exception: entries that disappear because of an outage of
/// the store are kept until `outage_grace_period` after its return. Not
/// thread-safe.
class backend_directory
{
public:
    /// Live servers whose entries expired during an outage of the store are
    /// listed again within this time after its return.
    static constexpr duration outage_grace_period{2000};
    /// Time for which no request for a refused model or adapter is sent to the
    /// server that refused it.
    static constexpr duration refusal_ttl{400};

    /// Replaces the list by `entries`.
    void replace(std::span<const backend_entry> entries, time_point now);

    /// Adds or replaces one entry of the list.
    void update(const backend_entry& entry);

    /// Removes an entry that was removed from the list, or marks it as missing
    /// if it may return after an outage of the store.
    void remove(const server_id& id, time_point now);

    /// Records whether the store is reachable.
    void set_store_reachable(bool reachable, time_point now);

    /// Records that the store was restored from a backup, which lacks the
    /// entries of servers that registered since. Like after an outage, these
    /// are retained for `outage_grace_period`.
    void on_store_restored(time_point now);

    /// Removes the servers that were not listed again in time after an outage,
    /// and returns them. `list_known_at` is the latest time as of which the
    /// list is known, from whichever daemon: that it is known at all then shows
    /// that the store is back, also where this daemon does not reach it.
    std::vector<server_id> expire(time_point now, time_point list_known_at);

    /// Sets the maximum time until a change on a server appears in the list.
    void set_max_list_lag(duration max_lag) noexcept
    {
        max_list_lag_ = max_lag;
    }

    /// Records the state of a server that placement's lease holder announced.
    /// Returns false if the server is unknown or a newer update was recorded.
    bool learn(const server_id& id,
               const resident_state& held,
               update_position position,
               time_point now);

    /// Records that the server refused a request for a model or adapter as not
    /// loaded.
    void not_held(const server_id& id,
                  const model_id& model,
                  const std::string& adapter,
                  time_point now);

    /// Returns how much of what a request needs is resident on the server. What
    /// the server refused within `refusal_ttl` counts as not resident.
    static holding holds(const backend_state& state,
                         const model_id& model,
                         const std::string& adapter,
                         time_point now);

    /// Records that another process responded at the server's address.
    void mark_misdirected(const server_id& id);

    /// Records that the process that started at `started_ms` announced its
    /// shutdown. Returns true if this was not known before. A process other
    /// than the listed one is ignored.
    bool leaves(const server_id& id, std::uint64_t started_ms);

    /// Records that the process rejected a request with a Retry-After period
    /// that ends at `until`. A process other than the listed one is ignored.
    void turned_away(const server_id& id,
                     std::uint64_t started_ms,
                     time_point until);

    const backend_state* find(const server_id& id) const;

    /// Returns all known servers, ordered by id.
    const std::map<server_id, backend_state>& servers() const noexcept
    {
        return servers_;
    }

    /// Returns true while entries may be missing only because of an outage of
    /// the store.
    bool awaits_return(time_point now) const noexcept;

private:
    /// Returns null if the server is unknown or another process is listed.
    backend_state* find_process(const server_id& id, std::uint64_t started_ms);

    std::map<server_id, backend_state> servers_;
    duration max_list_lag_{2500};
    bool store_reachable_ = true;
    time_point store_returned_at_{};
    bool had_outage_ = false;
};

} // namespace barleyfork

#endif
