#ifndef BARLEYFORK_CORE_WAITING_ROOM_HPP
#define BARLEYFORK_CORE_WAITING_ROOM_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/core/gateway_configuration.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace barleyfork {

/// Requests that the same servers can run.
using server_group = std::pair<service_id, model_id>;

/// Identifies one waiting request. Later requests have greater numbers.
enum class waiting_ticket : std::uint64_t
{
};

/// What the order of waiting requests depends on.
struct waiting_request
{
    /// Zero is the most urgent.
    std::uint32_t priority = 0;
    /// Crashes of servers attributed to the request.
    std::size_t crashes = 0;
    /// Empty where callers need no keys.
    organisation_id organisation;
    /// The organisation's share relative to others; positive.
    double weight = 1.0;
    time_point since{};
    /// The request is refused if it still waits then.
    time_point until{};
    /// A response that begins by then meets its target.
    time_point due_at{};
    /// The expected processing time on an idle server, in milliseconds.
    double own_ms = 0.0;
    /// True if the caller was rejected before and came back.
    bool is_returned = false;
};

/// The requests of one daemon that wait for servers, and the order in which
/// they go when there is room.
///
/// More urgent requests go first; among equals, those that can still meet their
/// target, then the organisation that had least of the servers lately, then
/// what is due first. One turn in `turn_interval` belongs to the less urgent
/// request that has waited longest, so that no flood of urgent requests starves
/// the others. Each group of servers has an order of its own. Not
/// thread-safe.
class waiting_room
{
public:
    /// Of this many requests that are sent while others wait, one is taken out
    /// of the order of urgency.
    static constexpr std::uint32_t turn_interval = 8;

    waiting_ticket add(const server_group& group,
                       const waiting_request& request);

    /// Does nothing if the request does not wait.
    void remove(waiting_ticket ticket);

    bool empty() const noexcept
    {
        return requests_.empty();
    }

    /// Returns the groups for whose servers requests wait.
    std::vector<server_group> groups() const;

    /// Returns the waiting requests of the group, the next one first.
    std::vector<waiting_ticket> order(const server_group& group,
                                      time_point now) const;

    /// Returns those requests of the group that go before `request`, which need
    /// not wait itself.
    std::vector<waiting_ticket> ahead_of(const server_group& group,
                                         const waiting_request& request,
                                         time_point now) const;

    /// Returns the processing time of the more urgent requests and of the older
    /// ones among equals, in milliseconds.
    double work_ahead_ms(const server_group& group,
                         const waiting_request& request) const;

    /// Returns whether the next turn belongs to this request, which may be one
    /// that has just arrived.
    bool has_turn(const server_group& group,
                  const waiting_request& request) const;

    /// Records that a request was sent. Call it after `remove`.
    void on_sent(const server_group& group,
                 const waiting_request& request,
                 time_point now);

    /// Returns whether the organisation has had more than twice its fair share
    /// of the group's service lately. Always false without organisations.
    bool is_over_share(const service_id& service,
                       const waiting_request& request,
                       time_point now) const;

    /// Returns when a refused caller should come back: once there is room, and
    /// after those that were told to come back before. `spacing` is the time
    /// that the servers need for one request. At most `bound`; `draw`, 0 to 1,
    /// spreads callers that the bound would bring back together.
    duration promise_return(const server_group& group,
                            duration room_in,
                            double spacing_ms,
                            duration bound,
                            double draw,
                            time_point now);

private:
    struct group_state
    {
        std::map<waiting_ticket, waiting_request> waiting;
        std::uint32_t sends_since_turn = 0;
        /// When the caller that was told the latest time comes back.
        time_point promised_until{};
    };

    /// Decaying work of an organisation at a service, divided by its weight.
    struct served_work
    {
        double ms = 0.0;
        time_point at{};
    };

    /// Returns whether a request that is less urgent than others is to go next.
    static bool is_turn_due(const group_state& state) noexcept
    {
        return state.sends_since_turn + 1 >= turn_interval;
    }

    using entry = std::pair<waiting_ticket, waiting_request>;

    static double decayed(const served_work& work, time_point now);
    double served(const service_id& service,
                  const organisation_id& organisation,
                  time_point now) const;
    std::vector<entry> sorted(const server_group& group,
                              std::vector<entry> entries,
                              time_point now) const;
    std::vector<entry> entries_of(const server_group& group) const;

    std::uint64_t next_ticket_ = 1;
    std::map<server_group, group_state> groups_;
    std::map<waiting_ticket, server_group> requests_;
    std::map<service_id, std::map<organisation_id, served_work>> served_;
};

} // namespace barleyfork

#endif
