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

/// A model on a backend server with the adapters that are loaded for it.
struct held_model
{
    model_id model;
    /// Requests for it may be sent; false while an order concerns it.
    bool ready = true;
    std::vector<std::string> adapters;

    bool has_adapter(const std::string& adapter) const;

    friend bool operator==(const held_model&, const held_model&) = default;
};

/// What a backend server holds.
struct held_state
{
    /// The process: the time of its start in Unix milliseconds.
    std::uint64_t started_ms = 0;
    std::vector<held_model> models;

    const held_model* find(const model_id& model) const;

    friend bool operator==(const held_state&, const held_state&) = default;
};

/// What the platform's list says of one backend server.
struct backend_entry
{
    server_id id;
    service_id service;
    std::string address;
    std::uint16_t port = 0;
    failure_domain_id failure_domain;
    bool draining = false;
    /// How long the server will still run, where it said so.
    std::optional<duration> leaves_in;
    std::uint32_t slots = 1;
    /// Heartbeats that the process had sent.
    std::uint64_t heartbeats = 0;
    held_state held;
    /// Models whose weights it has at hand, so that a load is quick.
    std::vector<model_id> in_memory;
    std::vector<model_id> on_disk;

    /// True where `later` tells nothing new of the server. Time that runs out
    /// is no news.
    static bool differ_in_heartbeats_only(const backend_entry& earlier,
                                          const backend_entry& later);
};

/// Orders the news of placement's holders.
struct news_order
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const news_order&, const news_order&) = default;
};

/// A backend server as this daemon knows it.
struct backend_state
{
    backend_entry entry;
    /// What the placement's holder said last, and which of its news it was.
    std::optional<held_state> learned;
    news_order learned_order;
    /// When it vanished from the list; set only while its return is awaited.
    std::optional<time_point> missing_since;
    /// Until when the holder's word stands against the list's, which lags.
    time_point learned_until{};
    /// Models and adapters that the server refused as not loaded, and until
    /// when it is not asked for them again.
    std::map<std::pair<model_id, std::string>, time_point> refusals;
    /// Another process answered at its address: it is not used until the list
    /// tells of it anew.
    bool misdirected = false;
    /// This process said in an answer that it leaves, whatever the list says.
    bool said_leaving = false;
    /// This process turned a request away and wants nothing until then.
    time_point wants_nothing_until{};

    /// What the server holds, by the newer of list and holder.
    const held_state& held(time_point now) const;

    /// True where new requests may be sent to it.
    bool usable() const noexcept
    {
        return !entry.draining && !misdirected && !said_leaving;
    }

    /// True while it wants nothing from this daemon.
    bool wants_nothing(time_point now) const noexcept
    {
        return now < wants_nothing_until;
    }
};

/// Whether a backend server can run a request for a model and adapter.
enum class holding : std::uint8_t
{
    /// Not the model.
    none,
    /// The model, but not the adapter.
    model_only,
    /// All that the request needs.
    all,
};

/// The backend servers by the platform's list.
///
/// Invariant: a server that the list shows draining or gone gets no new
/// request, except that entries which vanish because the store was away are
/// awaited for `outage_patience`. Not thread-safe.
class backend_directory
{
public:
    /// Live servers whose entries lapsed in an outage of the store are listed
    /// again within this time of its return.
    static constexpr duration outage_patience{2000};
    /// A model or adapter that a server refused is not asked for again before
    /// this.
    static constexpr duration refusal_life{400};

    /// Takes in the whole list.
    void replace(std::span<const backend_entry> entries, time_point now);

    /// Takes in one changed entry.
    void update(const backend_entry& entry);

    /// An entry was removed from the list.
    void remove(const server_id& id, time_point now);

    /// The store could not be reached, or could be again.
    void set_store_reachable(bool reachable, time_point now);

    /// Drops servers whose return was awaited for long enough; returns them.
    std::vector<server_id> expire(time_point now);

    /// How long a change on a server takes at most to show in the list.
    void set_list_lag(duration lag) noexcept
    {
        list_lag_ = lag;
    }

    /// Takes in what the placement's holder says of a server; false where
    /// newer news is known.
    bool learn(const server_id& id,
               const held_state& held,
               news_order order,
               time_point now);

    /// The server refused a request for a model or adapter as not loaded.
    void not_held(const server_id& id,
                  const model_id& model,
                  const std::string& adapter,
                  time_point now);

    /// What `state`'s server holds of what a request needs.
    static holding holds(const backend_state& state,
                         const model_id& model,
                         const std::string& adapter,
                         time_point now);

    /// Another process answered at the server's address.
    void misdirected(const server_id& id);

    /// The process that started at `started_ms` said that it leaves; true
    /// where that was not known.
    bool leaves(const server_id& id, std::uint64_t started_ms);

    /// The process turned a request away and wants nothing until `until`.
    void turned_away(const server_id& id,
                     std::uint64_t started_ms,
                     time_point until);

    const backend_state* find(const server_id& id) const;

    /// All known servers in the order of their ids.
    const std::map<server_id, backend_state>& servers() const noexcept
    {
        return servers_;
    }

    /// True while entries may be missing only because the store was away.
    bool awaits_return(time_point now) const noexcept;

private:
    backend_state* find_process(const server_id& id, std::uint64_t started_ms);

    std::map<server_id, backend_state> servers_;
    duration list_lag_{2500};
    bool store_reachable_ = true;
    time_point store_back_at_{};
    bool outage_seen_ = false;
};

} // namespace barleyfork

#endif
