#ifndef BARLEYFORK_CORE_MEMBERSHIP_HPP
#define BARLEYFORK_CORE_MEMBERSHIP_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/core/crash_quarantine.hpp>
#include <barleyfork/schema/peer_generated.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace barleyfork {

/// One row of the platform's list of instances, which may lag behind.
struct listed_instance
{
    instance_id id;
    std::string address;
    std::uint16_t port = 0;
    region_id region;
    failure_domain_id failure_domain;
    bool leaving = false;
    /// A backend server rather than a daemon.
    bool is_backend_server = false;
};

/// A peer as this daemon sees it.
struct member_view
{
    listed_instance place;
    std::uint64_t incarnation = 0;
    schema::member_state state = schema::member_state::alive;
};

/// A message and the instance that receives it.
struct outgoing_message
{
    instance_id to;
    schema::peer_message_record message;
    /// Requires a connection that was not used before.
    bool fresh_connection = false;
};

/// Limits of probing and of the updates on each message.
struct membership_options
{
    duration probe_interval{1000};
    duration probe_timeout{500};
    /// A suspect that does not refute the suspicion for this long counts as
    /// gone.
    duration suspicion{4000};
    /// Peers probed in each probe interval.
    std::uint32_t probes_per_interval = 2;
    /// Peers that receive a new configuration at once.
    std::uint32_t push_fan_out = 3;
    /// Maximum number of member entries on one message.
    std::uint32_t max_members_per_message = 8;
    /// Number of times an entry is forwarded, as a multiple of log2 of the
    /// number of members.
    std::uint32_t transmit_factor = 2;
};

/// Group membership: the platform's list combined with the daemons' own probes.
///
/// A probe without a response is retried once on a new connection before the
/// peer is suspected. Suspicion is forwarded to other peers and can be refuted
/// by its subject with a larger incarnation. Only instances on the list are
/// members; a state announced by or about any other instance is ignored. After
/// "Scalable Weakly-consistent Infection-style Process Group Membership"
/// (SWIM). Not thread-safe.
class membership
{
public:
    membership(listed_instance self,
               std::uint64_t incarnation,
               membership_options options,
               std::uint64_t seed);

    /// Applies the platform's list. Removes and returns the instances that are
    /// no longer listed, since an instance id is never used again.
    std::vector<instance_id> set_listed(std::span<const listed_instance> list);

    /// Sets the configuration digest that every message carries from now on.
    void set_configuration(const schema::configuration_digest_record& digest);

    /// Adds a crash that is attributed to a request, to forward to peers.
    void add_quarantine(const crash_blame& blame);

    /// Announces on every message from now on that this instance is shutting
    /// down.
    void announce_shutdown();

    /// Returns the probes that are due, and retries of those without a
    /// response.
    std::vector<outgoing_message> tick(time_point now);

    /// Returns messages that carry a new configuration to a few peers at once.
    std::vector<outgoing_message> push();

    /// Processes a message; returns the response, where one is due.
    std::optional<outgoing_message>
    receive(const schema::peer_message_record& message, time_point now);

    /// Returns the peers that may receive messages: alive, suspect or leaving.
    std::vector<const member_view*> members() const;

    /// Returns all peers on the platform's list, reachable or not.
    std::vector<const member_view*> listed() const;

    std::uint64_t incarnation() const noexcept
    {
        return incarnation_;
    }

    /// Returns the number of live instances, this one included.
    std::size_t live_count() const noexcept;

    /// Returns a peer by its id, or null.
    const member_view* find(const instance_id& id) const;

    const listed_instance& self() const noexcept
    {
        return self_;
    }

private:
    struct pending_probe
    {
        std::uint64_t sequence = 0;
        time_point deadline{};
        bool is_retried = false;
    };

    struct pending_update
    {
        std::uint32_t transmissions = 0;
    };

    void check_probes(time_point now, std::vector<outgoing_message>& out);
    void check_suspects(time_point now);
    void start_probes(time_point now, std::vector<outgoing_message>& out);
    schema::peer_message_record compose(schema::message_kind kind);
    void attach_members(schema::peer_message_record& message);
    void attach_quarantine(schema::peer_message_record& message);
    void merge_member(const schema::member_record& record,
                      bool is_from_subject,
                      time_point now);
    void change_state(const instance_id& id,
                      schema::member_state state,
                      std::uint64_t incarnation,
                      time_point now);
    std::vector<instance_id> pick_peers(std::uint32_t count);
    std::uint32_t max_transmissions() const;

    listed_instance self_;
    std::uint64_t incarnation_;
    bool leaving_ = false;
    membership_options options_;
    std::uint64_t random_state_;
    std::uint64_t next_sequence_ = 1;
    time_point next_round_{};
    std::map<instance_id, member_view> members_;
    std::map<instance_id, time_point> suspected_since_;
    std::map<instance_id, pending_probe> probes_;
    std::map<instance_id, pending_update> pending_updates_;
    /// Attributed crashes and how often each was forwarded.
    std::map<crash_blame, std::uint32_t> quarantine_;
    schema::configuration_digest_record configuration_;
    std::vector<instance_id> probe_order_;
};

} // namespace barleyfork

#endif
