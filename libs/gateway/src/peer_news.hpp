#ifndef BARLEYFORK_GATEWAY_SRC_PEER_NEWS_HPP
#define BARLEYFORK_GATEWAY_SRC_PEER_NEWS_HPP

#include "gateway_context.hpp"
#include "store_watch.hpp"

#include <barleyfork/core/lasting_state.hpp>
#include <barleyfork/core/relay_choice.hpp>
#include <barleyfork/core/takeover_turn.hpp>
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

/// What one server holds, by the placement's holder.
struct server_holding
{
    server_id server;
    held_state held;
};

/// Messages between the daemons of one deployment: demand towards the
/// placement's holder, its news towards all, and the configuration for
/// daemons that the store does not serve. Belongs to one duty.
class peer_news
{
public:
    using demand_handler =
        std::function<void(const schema::peer_message_record&)>;

    peer_news(gateway_context& context, store_watch& watch);

    /// Called with true where this daemon is to take the lease that its holder
    /// let go.
    void on_released(std::function<void(bool)> handler)
    {
        on_released_ = std::move(handler);
    }

    /// Who is to hold the placement's lease after this daemon; empty where
    /// nobody was heard lately.
    instance_id successor(time_point now) const;

    /// Tells all that this daemon let the lease of `epoch` go.
    void announce_release(std::uint64_t epoch, const instance_id& successor);

    /// Where demand goes while this daemon holds the placement's lease.
    void on_demand(demand_handler handler)
    {
        on_demand_ = std::move(handler);
    }

    /// Listens for peers; false where the port can't be had.
    bool listen();

    /// Registers this daemon and follows who the others are.
    boost::asio::awaitable<void> follow_members();

    /// Sends demand and heartbeats.
    boost::asio::awaitable<void> run();

    /// Tells the neighbours while this daemon follows the store for them.
    boost::asio::awaitable<void> speak_to_neighbours();

    /// A newer configuration came: the neighbours of a reader get it.
    void pass_configuration_on();

    /// Sends demand at once.
    void send_demand();

    /// Tells all daemons what servers hold; the place of these news among
    /// all.
    news_order announce(std::span<const server_holding> changed);

    /// A server's process ended under these requests: all daemons hear which
    /// are blamed, and the store keeps which are refused.
    void on_server_ended(const server_id& server, const ended_process& ended);

    void set_holding(bool holds, std::uint64_t epoch);

    /// This daemon has just taken the lease: the others hear it at once.
    void begin_holding(std::uint64_t epoch);

    /// How well this daemon's link suits the lease's holder, who speaks to
    /// all, among the daemons that are known.
    holder_rank rank_as_holder() const;

    bool is_holding() const noexcept
    {
        return holding_;
    }

    /// True while a holder's news comes in.
    bool hears_holder(time_point now) const;

private:
    schema::peer_message_record make_message(schema::message_kind kind);
    void receive(const schema::peer_message_record& message);
    void on_placement(const schema::peer_message_record& message);
    void on_release(const schema::peer_message_record& message);
    /// What is known of another daemon.
    struct member
    {
        peer_address address;
        failure_domain_id failure_domain;
        double link_mbps = 0.0;
        time_point heard_at{};
        std::uint64_t started_ms = 0;
    };

    void send_to_all(schema::peer_message_record message, time_point now);
    void pass_on(const schema::peer_message_record& message);
    const member* relay_of(const failure_domain_id& domain, time_point now);
    /// The other daemons of this one's failure domain.
    std::vector<peer_address> neighbours() const;
    std::uint64_t configuration_version() const noexcept;
    void speak();
    void add_list_changes(schema::peer_message_record& message);
    void add_leaving(schema::peer_message_record& message);
    void take_leaving(const schema::peer_message_record& message);
    void ask_reader();
    void catch_up(const schema::peer_message_record& message);
    void send_snapshot(const schema::peer_message_record& request);
    void take_snapshot(const schema::peer_message_record& message);
    void request_snapshot(const peer_address& from);
    void ask_for_snapshot();
    void ask_neighbours();
    void on_reader_word(const schema::peer_message_record& message,
                        const member& speaker);
    schema::peer_message_record
    make_crash_message(std::span<const told_blame> told, time_point now);
    void tell_blames_soon();
    void tell_blames();
    std::vector<told_blame> take_untold_blames();
    void note_refusals(time_point now);
    void take_blames(std::span<const told_blame> told);
    void on_crashes(const schema::peer_message_record& message);
    void compare_refusals(const schema::peer_message_record& message,
                          time_point now);
    boost::asio::awaitable<void> keep_refusal(std::uint64_t fingerprint);
    boost::asio::awaitable<void> read_refusals();
    boost::asio::awaitable<bool> read_members();
    void take_members(const store_read& read);
    void take_member(const store_row& row);
    void place_self();
    boost::asio::awaitable<void> register_self();

    gateway_context& context_;
    store_watch& watch_;
    peer_link link_;
    demand_handler on_demand_;
    std::function<void(bool)> on_released_;
    /// When this process started, in Unix milliseconds.
    std::uint64_t started_ms_;
    std::map<instance_id, member> members_;
    /// This daemon's row as the store has it.
    store_row own_row_;
    /// The neighbours were told last that this daemon follows the store.
    bool told_following_ = false;
    /// Who passes news on in each other failure domain.
    relay_choice relays_;
    std::optional<peer_address> holder_;
    time_point holder_heard_at_{};
    std::uint64_t holder_epoch_ = 0;
    bool holding_ = false;
    /// The holder told an older configuration than the one in force here: it
    /// is to hear of this one, even from daemons that ask for nothing.
    bool holder_is_behind_ = false;
    /// The holder still counts work of this daemon.
    bool told_outstanding_ = false;
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t announced_ = 0;
    time_point beat_at_{};
    version_catchup catchup_;
    /// News of refusals arrives within this.
    static constexpr duration refusal_patience{1000};
    /// The holder refuses other requests than this daemon.
    lasting_state refusals_differ_{refusal_patience};
    /// What others have not heard from this daemon yet.
    std::vector<crash_blame> untold_blames_;
    /// When what is blamed is told next.
    std::optional<time_point> telling_blames_at_;
    /// Requests whose refusal was logged, and written to the store by this
    /// daemon.
    std::set<std::uint64_t> noted_refusals_;
    std::set<std::uint64_t> kept_refusals_;
};

} // namespace barleyfork

#endif
