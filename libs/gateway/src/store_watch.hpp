#ifndef BARLEYFORK_GATEWAY_SRC_STORE_WATCH_HPP
#define BARLEYFORK_GATEWAY_SRC_STORE_WATCH_HPP

#include "gateway_context.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/core/reader_election.hpp>
#include <barleyfork/core/table_follower.hpp>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace barleyfork {

/// Follows the operators' configuration and the list of backend servers, in the
/// store or through the messages of a neighbour. The known state stays in force
/// while the store is unreachable; versions never decrease. Used by one worker
/// only.
class store_watch
{
public:
    explicit store_watch(gateway_context& context);

    boost::asio::awaitable<void> follow_configuration();
    /// Reads the configuration's changes at once, beside the call that waits
    /// for one, whenever nothing has confirmed for too long that the known
    /// version is the newest.
    boost::asio::awaitable<void> check_configuration();
    boost::asio::awaitable<void> follow_servers();

    /// Applies a configuration in the store's encoding, from the store or from
    /// a peer. Versions that are not newer are ignored. Returns false if it
    /// cannot be decoded.
    bool apply_configuration(std::string_view bytes, std::string_view source);

    /// Applies changes of the list that another daemon relayed, and its claim
    /// that they are complete. A claim since 0 claims nothing.
    void apply_relayed_rows(const std::vector<store_row>& rows,
                            const table_claim& claim);

    /// Sets whether this daemon is the lease holder, which reads the list for
    /// all daemons.
    void set_holder(bool holder);

    /// Changes that were not relayed yet. They are complete after version
    /// `since` of the store.
    struct relayed_rows
    {
        store_version since;
        std::vector<store_row> rows;
    };
    relayed_rows take_relayed_rows();

    bool has_rows_to_relay() const noexcept
    {
        return !to_relay_.empty();
    }

    /// Returns the changes after a version of the store, or all rows if the
    /// version is unknown. Returns nothing if rows removed since then are
    /// unknown.
    std::optional<std::vector<store_row>>
    rows_after(store_version position) const;

    /// Sets the handler for missed changes that a reader of the failure domain
    /// may know.
    void on_changes_missed(std::function<void()> handler)
    {
        on_changes_missed_ = std::move(handler);
    }

    /// Sets the handler that is called after this daemon has read the list.
    void on_list_read(std::function<void()> handler)
    {
        on_list_read_ = std::move(handler);
    }

    /// Returns the version in force here; 0 if there is none.
    std::uint64_t configuration_version() const noexcept;

    /// Returns the newest configuration in the store's encoding, with digests
    /// instead of callers' keys.
    const std::string& configuration_bytes() const noexcept
    {
        return bytes_;
    }

    /// Sets the handler that is called after a newer configuration is in force.
    void on_configuration(std::function<void()> handler)
    {
        on_configuration_ = std::move(handler);
    }

    /// Returns the choice of the daemons of the failure domain that read the
    /// store.
    reader_election& readers() noexcept
    {
        return readers_;
    }

    /// Returns whether this daemon follows the store for its neighbours too.
    bool is_following_store() const noexcept
    {
        return readers_.is_reader() && reachable_ && !context_.drain.draining();
    }

    /// Return the versions of the store up to which all changes of the
    /// configuration and of the list are known here; unknown if none are.
    store_version configuration_position() const noexcept
    {
        return configuration_.position();
    }
    store_version list_position() const noexcept
    {
        return list_.position();
    }
    /// Returns the time as of which the list is known.
    time_point list_known_at() const noexcept
    {
        return list_.known_at();
    }

    /// Records another daemon's confirmation that the configuration known here
    /// is the newest one up to `position`, as of `known_at`.
    void confirm_configuration(store_version position, time_point known_at);

    /// Records that the configuration known here was the newest one at `at`, by
    /// `boot_now`.
    void confirm_keys(time_point at);

    /// Returns true while callers' keys wait for a proof that the store lacks
    /// no newer configuration; other daemons may know one.
    bool awaits_proof() const noexcept
    {
        return unproven_read_.has_value() && context_.configuration &&
               context_.configuration->requires_keys;
    }

    /// Called when another daemon's record proves that the store contains
    /// everything that it acknowledged.
    void on_store_complete();

    /// Applies a list from a neighbour: the complete list as read at the
    /// claim's position, or changes if the list is known here already.
    void apply_neighbour_list(const std::vector<store_row>& rows,
                              const table_claim& claim);

    /// Returns false while the store does not respond to this daemon.
    bool is_reachable() const noexcept
    {
        return reachable_;
    }

private:
    static constexpr std::int64_t min_retry_delay_ms = 150;
    /// Interval at which a daemon that relies on a neighbour's reads checks
    /// whether it must read the store itself.
    static constexpr std::int64_t neighbour_poll_ms = 100;
    /// Interval of the checks whether a read of a table is due.
    static constexpr std::int64_t read_poll_ms = 150;

    /// A read of the configuration from a store that may lack a newer one.
    struct unproven_read
    {
        std::uint64_t era = 0;
        /// By `boot_now`.
        time_point began{};
    };

    bool update_reader_role(time_point now);
    bool waits_for_neighbour(bool known, time_point now);
    std::int64_t draw_retry_delay_ms();
    bool apply_list(const std::vector<store_row>& rows,
                    store_version position,
                    time_point now);
    bool apply_changes(const std::vector<store_row>& rows,
                       log_level listed_level,
                       time_point now);
    void restart_relay();
    follower_role role() const noexcept;
    bool is_list_due(time_point now);
    boost::asio::awaitable<bool> read_list(time_point began);
    bool is_configuration_due(time_point now);
    bool is_key_knowledge_due() const;
    void confirm_keys_by_read(const unproven_read& read);
    boost::asio::awaitable<bool> read_configuration(duration wait);
    void expire_servers();
    std::optional<backend_entry> decode(const store_row& row,
                                        log_level listed_level) const;
    void log_change(const backend_entry& entry, log_level listed_level) const;
    void set_reachable(bool reachable, const failure& error);
    duration max_unconfirmed_age() const;
    void report_configuration_age(time_point now);
    void log_faults(const gateway_configuration& configuration) const;

    gateway_context& context_;
    reader_election readers_;
    time_point started_at_;
    std::function<void()> on_configuration_;
    std::string bytes_;
    table_follower configuration_;
    /// Whether the last log line on it says that the configuration is old.
    bool is_configuration_unconfirmed_ = false;
    /// Whether the last row that was read from the store could not be decoded.
    /// What it withdraws is then unknown.
    bool is_newest_unreadable_ = false;
    std::optional<unproven_read> unproven_read_;
    table_follower list_;
    bool reachable_ = true;
    /// Number of successive failed calls.
    int failures_ = 0;
    /// How far a server has come: the start of its process, and the heartbeats
    /// of that process.
    struct server_progress
    {
        std::uint64_t started_ms = 0;
        std::uint64_t heartbeats = 0;

        friend auto operator<=>(const server_progress&,
                                const server_progress&) = default;
    };
    /// A row of the list as applied.
    struct applied_row
    {
        /// The newest known version of the row, which may be its deletion.
        store_row row;
        /// The last version that changed more than a heartbeat.
        store_version content_version;
        /// The last known state of the server, also after it was removed.
        server_progress progress;
    };
    static server_progress progress_of(const backend_entry& entry) noexcept;
    static bool is_outdated(const applied_row& applied,
                            const store_row& row,
                            const backend_entry& entry);
    bool is_substantive(const std::optional<backend_entry>& entry) const;
    std::map<std::string, applied_row> rows_;
    /// Version of the store after which all removals of rows are known.
    std::optional<store_version> removals_known_since_;
    bool holder_ = false;
    store_version relayed_since_;
    std::vector<store_row> to_relay_;
    std::function<void()> on_changes_missed_;
    std::function<void()> on_list_read_;
};

} // namespace barleyfork

#endif
