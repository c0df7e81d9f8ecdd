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

/// One row of the platform's lagging list of instances.
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

/// A message and the instance that it goes to.
struct outgoing_message
{
    instance_id to;
    schema::peer_message_record message;
    /// Not to be sent on a connection that was used before.
    bool fresh_connection = false;
};

/// Limits of probing and of the news on each message.
struct membership_options
{
    duration probe_interval{1000};
    duration probe_timeout{500};
    /// A suspect that does not refute for this long counts as gone.
    duration suspicion{4000};
    /// Peers probed in each interval.
    std::uint32_t probes = 2;
    /// Peers that hear a new configuration at once.
    std::uint32_t push_fan_out = 3;
    /// Member entries on one message.
    std::uint32_t news_limit = 8;
    /// How often an entry is passed on, as a multiple of log2 of the members.
    std::uint32_t transmit_factor = 2;
};

/// Who is there: the platform's list joined with the daemons' own probes.
///
/// A probe that goes unanswered is repeated once on a new connection before
/// the peer is suspected. Suspicion is passed on and can be refuted by its
/// subject with a larger incarnation. Only instances on the list, or heard
/// from directly, are members. After "Scalable Weakly-consistent
/// Infection-style Process Group Membership" (SWIM). Not thread-safe.
class membership
{
public:
    membership(listed_instance self,
               std::uint64_t incarnation,
               membership_options options,
               std::uint64_t seed);

    /// Takes in the platform's list; instances that left it are dropped and
    /// returned, since an instance id is never used again.
    std::vector<instance_id> set_listed(std::span<const listed_instance> list);

    /// The news every message carries from now on.
    void set_configuration(const schema::configuration_digest_record& digest);

    /// Adds what is blamed on a request, to pass on.
    void add_quarantine(const crash_blame& blame);

    /// Says on every message from now on that this instance is leaving.
    void set_leaving();

    /// Probes that are due, and follow-ups of those without an answer.
    std::vector<outgoing_message> tick(time_point now);

    /// Messages that carry a new configuration to a few peers at once.
    std::vector<outgoing_message> push();

    /// Takes in a message; the answer, where one is due.
    std::optional<outgoing_message>
    receive(const schema::peer_message_record& message, time_point now);

    /// Peers that may receive messages: alive, suspect or leaving.
    std::vector<const member_view*> members() const;

    /// All peers on the platform's list, reachable or not.
    std::vector<const member_view*> listed() const;

    /// This instance's own incarnation.
    std::uint64_t incarnation() const noexcept
    {
        return incarnation_;
    }

    /// Live instances, this one included.
    std::size_t live_count() const noexcept;

    /// A peer by its id, or null.
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
        bool repeated = false;
    };

    struct news_entry
    {
        std::uint32_t transmissions = 0;
    };

    void check_probes(time_point now, std::vector<outgoing_message>& out);
    void check_suspects(time_point now);
    void start_probes(time_point now, std::vector<outgoing_message>& out);
    schema::peer_message_record compose(schema::message_kind kind);
    void attach_members(schema::peer_message_record& message);
    void attach_quarantine(schema::peer_message_record& message);
    void merge_member(const schema::member_record& said,
                      bool by_itself,
                      time_point now);
    void change_state(const instance_id& id,
                      schema::member_state state,
                      std::uint64_t incarnation,
                      time_point now);
    std::vector<instance_id> pick_peers(std::uint32_t count);
    std::uint32_t transmit_limit() const;

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
    std::map<instance_id, news_entry> news_;
    /// Blames and how often each was passed on.
    std::map<crash_blame, std::uint32_t> quarantine_;
    schema::configuration_digest_record configuration_;
    std::vector<instance_id> probe_order_;
};

} // namespace barleyfork

#endif
