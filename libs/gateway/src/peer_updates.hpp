#ifndef BARLEYFORK_GATEWAY_SRC_PEER_UPDATES_HPP
#define BARLEYFORK_GATEWAY_SRC_PEER_UPDATES_HPP

#include "gateway_context.hpp"
#include "refusal_store.hpp"
#include "store_watch.hpp"
#include "suspicion_store.hpp"

#include <barleyfork/core/relay_selector.hpp>
#include <barleyfork/core/sustained_condition.hpp>
#include <barleyfork/core/takeover_timer.hpp>
#include <barleyfork/core/version_catchup.hpp>
#include <barleyfork/net/peer_link.hpp>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace barleyfork {

/// Resident models of one server, as published by the lease holder.
struct server_residents
{
    server_id server;
    resident_state resident;
};

/// Exchanges messages between the daemons of one deployment: demand to the
/// holder of the placement lease, the holder's updates to all daemons, and the
/// configuration to daemons that the store does not serve. Used by one worker
/// only.
class peer_updates
{
public:
    using demand_handler =
        std::function<void(const schema::peer_message_record&)>;

    peer_updates(gateway_context& context, store_watch& watch);

    /// Sets the handler for a release of the lease by its holder. It is called
    /// with true if the holder named this daemon as its successor.
    void on_released(std::function<void(bool)> handler)
    {
        on_released_ = std::move(handler);
    }

    /// Picks the daemon that is to hold the placement lease after this one.
    /// Returns an empty id if no message of another daemon arrived recently.
    instance_id pick_successor(time_point now) const;

    /// Announces to all daemons that this one released the lease of `epoch`.
    void announce_release(std::uint64_t epoch, const instance_id& successor);

    /// Sets the handler for the demand of peers, which they send while this
    /// daemon holds the placement lease.
    void on_demand(demand_handler handler)
    {
        on_demand_ = std::move(handler);
    }

    /// Listens for peers. Returns false if the port is not available.
    bool listen();

    /// Registers this daemon and follows the list of daemons in the store.
    boost::asio::awaitable<void> follow_members();

    /// Sends demand and heartbeats periodically.
    boost::asio::awaitable<void> run();

    /// Reports to the neighbours periodically while this daemon follows the
    /// store for them.
    boost::asio::awaitable<void> report_to_neighbours();

    /// Follows the refusals in the store.
    boost::asio::awaitable<void> follow_refusals();

    /// Sends a newer configuration to the neighbours if this daemon follows the
    /// store for them.
    void relay_configuration();

    /// Sends the current demand immediately.
    void send_demand();

    /// Sends changes of the resident models to all daemons. Returns the
    /// position of this update in the order of all updates.
    update_position announce(std::span<const server_residents> changed);

    /// Processes the crash of a server process: reports to all daemons the
    /// requests to which it is attributed, and stores the refused ones.
    void on_server_crashed(const server_id& server,
                           const crashed_process& crashed);

    /// Reports to all daemons a part of prompts that was answered although it
    /// is blamed for crashes.
    void on_blamed_part_answered()
    {
        schedule_blames();
    }

    /// Writes again what the daemons keep in the store, which was restored from
    /// a backup that may lack it.
    void on_store_restored();

    /// Sets whether this daemon holds the placement lease, and of which epoch.
    void set_lease_holder(bool is_holder, std::uint64_t epoch);

    /// Records that this daemon has just taken the lease, and announces it to
    /// all daemons immediately.
    void start_holding_lease(std::uint64_t epoch);

    /// Ranks this daemon as a lease holder among the known daemons by its link,
    /// since the holder sends to all of them.
    holder_rank rank_as_holder() const;

    bool is_lease_holder() const noexcept
    {
        return is_lease_holder_;
    }

    /// Returns whether an update of a lease holder was received recently.
    bool is_holder_responsive(time_point now) const;

private:
    schema::peer_message_record make_message(schema::message_kind kind);
    void receive(const schema::peer_message_record& message);
    void on_placement(const schema::peer_message_record& message);
    void on_release(const schema::peer_message_record& message);
    /// Another daemon as known here.
    struct member
    {
        peer_address address;
        failure_domain_id failure_domain;
        double link_mbps = 0.0;
        time_point last_seen_at{};
        std::uint64_t started_ms = 0;
    };

    void send_to_all(schema::peer_message_record message, time_point now);
    void relay_to_neighbours(const schema::peer_message_record& message);
    const member* relay_of(const failure_domain_id& domain, time_point now);
    /// Returns the addresses of the other daemons of this failure domain.
    std::vector<peer_address> neighbours() const;
    void send_following();
    void add_list_changes(schema::peer_message_record& message);
    void add_leaving(schema::peer_message_record& message);
    void apply_leaving(const schema::peer_message_record& message);
    void add_limits(schema::peer_message_record& message);
    void apply_limits(const schema::peer_message_record& message);
    void request_missed_changes();
    void
    request_newer_configuration(const schema::peer_message_record& message);
    void confirm_configuration(const schema::peer_message_record& message);
    void send_snapshot(const schema::peer_message_record& request);
    void apply_snapshot(const schema::peer_message_record& message);
    void request_snapshot(const peer_address& from);
    void request_snapshots_from_random_peers(std::size_t count);
    void request_snapshots_from_some(const std::vector<peer_address>& peers,
                                     std::size_t count);
    void request_neighbour_snapshots();
    void on_following(const schema::peer_message_record& message,
                      const member& sender);
    schema::peer_message_record
    make_crash_message(std::span<const reported_blame> blames, time_point now);
    void schedule_blames();
    void send_blames();
    std::vector<reported_blame> take_unsent_blames();
    void process_refusals(time_point now);
    bool is_cut_off(time_point now) const;
    void merge_blames(std::span<const reported_blame> blames);
    void add_unsent_blame(const crash_blame& blame, time_point now);
    void add_answered_parts(schema::peer_message_record& message);
    void apply_answered_parts(const schema::peer_message_record& message);
    void on_crashes(const schema::peer_message_record& message);
    void compare_refusals(const schema::peer_message_record& message,
                          time_point now);
    boost::asio::awaitable<bool> read_members();
    void apply_members(const store_read& read);
    void apply_member(const store_row& row);
    void update_limit_sharers();
    void update_quota_sharers();
    bool is_counted() const;
    void send_tokens(const instance_id& to,
                     schema::message_kind kind,
                     quota_exchange::transfer tokens);
    void update_reader_rank();
    boost::asio::awaitable<void> register_self();
    boost::asio::awaitable<void> register_again();
    void schedule_registration();

    gateway_context& context_;
    store_watch& watch_;
    peer_link link_;
    demand_handler on_demand_;
    std::function<void(bool)> on_released_;
    /// When this process started, in Unix milliseconds and by its own clock.
    std::uint64_t started_ms_;
    time_point started_at_;
    std::map<instance_id, member> members_;
    /// This daemon's row in the store as last read.
    store_row own_row_;
    /// The era of the store that `own_row_` records as complete; 0 for none.
    std::uint64_t recorded_era_ = 0;
    /// Whether the list of daemons was read since the start.
    bool has_read_members_ = false;
    /// From when on the other daemons list this one.
    std::optional<time_point> counted_from_;
    /// When this daemon, if it is new, reads the list again before it mints
    /// tokens: of daemons that start together, the first read shows only some.
    std::optional<time_point> second_listing_at_;
    /// When this daemon checks its row, which a restored store may lack.
    std::optional<time_point> registration_due_at_;
    /// Whether the last report to the neighbours announced that this daemon
    /// follows the store.
    bool announced_following_ = false;
    /// The relay of updates in each other failure domain.
    relay_selector relays_;
    std::optional<peer_address> holder_;
    time_point holder_last_seen_at_{};
    std::uint64_t holder_epoch_ = 0;
    bool is_lease_holder_ = false;
    /// Whether the holder reported an older configuration than the one in force
    /// here. The holder must learn of this one, even from daemons without
    /// demand.
    bool holder_is_behind_ = false;
    /// Whether the last demand reported outstanding work, which the holder
    /// still counts.
    bool sent_outstanding_ = false;
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t update_sequence_ = 0;
    time_point heartbeat_due_at_{};
    version_catchup catchup_;
    /// Time within which updates of refusals arrive.
    static constexpr duration refusal_grace_period{1000};
    /// Whether the holder refuses other requests than this daemon.
    sustained_condition refusals_differ_{refusal_grace_period};
    /// Attributions that this daemon has not sent to the others yet.
    std::vector<crash_blame> unsent_blames_;
    /// When the unsent attributions are sent.
    std::optional<time_point> blames_due_at_;
    /// Requests whose refusal was logged.
    std::set<std::uint64_t> logged_refusals_;
    refusal_store refusals_;
    suspicion_store suspicions_;
};

} // namespace barleyfork

#endif
