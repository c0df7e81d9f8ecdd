#include <barleyfork/core/waiting_room.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace barleyfork {

namespace {

/// Half-life of the work that counts toward an organisation's share.
constexpr double share_half_life_ms = 8000.0;
/// An organisation is over its share at this multiple of the mean.
constexpr double over_share_ratio = 2.0;
/// An organisation with fewer recent requests is never over its share.
constexpr double min_share_requests = 4.0;
/// The ticket of a request that does not wait.
constexpr waiting_ticket no_ticket{~std::uint64_t{0}};

bool is_late(const waiting_request& request, time_point now)
{
    const duration own(static_cast<std::int64_t>(request.own_ms));
    return !request.is_returned && now + own > request.due_at;
}

} // namespace

waiting_ticket waiting_room::add(const server_group& group,
                                 const waiting_request& request)
{
    const waiting_ticket ticket{next_ticket_++};
    groups_[group].waiting.emplace(ticket, request);
    requests_.emplace(ticket, group);
    return ticket;
}

void waiting_room::remove(waiting_ticket ticket)
{
    const auto found = requests_.find(ticket);
    if (found == requests_.end())
        return;
    groups_[found->second].waiting.erase(ticket);
    requests_.erase(found);
}

std::vector<server_group> waiting_room::groups() const
{
    std::vector<server_group> found;
    for (const auto& [group, state] : groups_)
        if (!state.waiting.empty())
            found.push_back(group);
    return found;
}

double waiting_room::decayed(const served_work& work, time_point now)
{
    const auto age = static_cast<double>((now - work.at).count());
    return work.ms * std::exp2(-age / share_half_life_ms);
}

double waiting_room::served(const service_id& service,
                            const organisation_id& organisation,
                            time_point now) const
{
    const auto known = served_.find(service);
    if (known == served_.end())
        return 0.0;
    const auto found = known->second.find(organisation);
    return found == known->second.end() ? 0.0 : decayed(found->second, now);
}

std::vector<waiting_room::entry>
waiting_room::entries_of(const server_group& group) const
{
    const auto found = groups_.find(group);
    if (found == groups_.end())
        return {};
    return {found->second.waiting.begin(), found->second.waiting.end()};
}

/// Sorts by urgency first, so that the shares of organisations decide among
/// equals only.
std::vector<waiting_room::entry> waiting_room::sorted(
    const server_group& group, std::vector<entry> entries, time_point now) const
{
    if (entries.size() < 2)
        return entries;
    const auto due_first = [](const entry& a, const entry& b) {
        return std::tie(a.second.due_at, a.first) <
               std::tie(b.second.due_at, b.first);
    };
    std::sort(entries.begin(), entries.end(), due_first);
    // Each request counts toward the share of its organisation as if those
    // before it had been served.
    std::map<organisation_id, double> shares;
    std::vector<std::pair<double, std::size_t>> ranks;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const auto& request = entries[i].second;
        auto& share =
            shares
                .try_emplace(request.organisation,
                             served(group.first, request.organisation, now))
                .first->second;
        ranks.emplace_back(share, i);
        share += request.own_ms / request.weight;
    }
    std::sort(ranks.begin(), ranks.end(), [&](const auto& a, const auto& b) {
        const auto key = [&](const auto& rank) {
            const auto& request = entries[rank.second].second;
            return std::tuple(request.priority,
                              request.crashes,
                              is_late(request, now),
                              rank.first,
                              rank.second);
        };
        return key(a) < key(b);
    });
    std::vector<entry> in_order;
    in_order.reserve(entries.size());
    for (const auto& [share, index] : ranks)
        in_order.push_back(entries[index]);
    const auto state = groups_.find(group);
    if (state == groups_.end() || !is_turn_due(state->second))
        return in_order;
    // The first one is the most urgent.
    const auto lowest = in_order.front().second.priority;
    auto longest = in_order.end();
    for (auto at = in_order.begin(); at != in_order.end(); ++at)
        if (at->second.priority > lowest &&
            (longest == in_order.end() ||
             at->second.since < longest->second.since))
            longest = at;
    if (longest != in_order.end())
        std::rotate(in_order.begin(), longest, longest + 1);
    return in_order;
}

std::vector<waiting_ticket> waiting_room::order(const server_group& group,
                                                time_point now) const
{
    std::vector<waiting_ticket> tickets;
    for (const auto& [ticket, request] : sorted(group, entries_of(group), now))
        tickets.push_back(ticket);
    return tickets;
}

std::vector<waiting_ticket>
waiting_room::ahead_of(const server_group& group,
                       const waiting_request& request,
                       time_point now) const
{
    auto entries = entries_of(group);
    if (entries.empty())
        return {};
    entries.emplace_back(no_ticket, request);
    std::vector<waiting_ticket> tickets;
    for (const auto& [ticket, other] : sorted(group, std::move(entries), now)) {
        if (ticket == no_ticket)
            break;
        tickets.push_back(ticket);
    }
    return tickets;
}

/// Sums without sorting, as every decision needs this.
double waiting_room::work_ahead_ms(const server_group& group,
                                   const waiting_request& request) const
{
    const auto found = groups_.find(group);
    if (found == groups_.end())
        return 0.0;
    double sum = 0.0;
    for (const auto& [ticket, other] : found->second.waiting)
        if (std::tie(other.priority, other.since) <
            std::tie(request.priority, request.since))
            sum += other.own_ms;
    return sum;
}

bool waiting_room::has_turn(const server_group& group,
                            const waiting_request& request) const
{
    const auto state = groups_.find(group);
    if (state == groups_.end() || !is_turn_due(state->second))
        return false;
    auto lowest = request.priority;
    for (const auto& [ticket, other] : state->second.waiting)
        lowest = std::min(lowest, other.priority);
    const auto is_before = [&](const auto& other) {
        return other.second.priority > lowest &&
               other.second.since < request.since;
    };
    const auto& waiting = state->second.waiting;
    return request.priority > lowest &&
           std::none_of(waiting.begin(), waiting.end(), is_before);
}

void waiting_room::on_sent(const server_group& group,
                           const waiting_request& request,
                           time_point now)
{
    if (!request.organisation.value().empty()) {
        auto& work = served_[group.first][request.organisation];
        work = {decayed(work, now) + request.own_ms / request.weight, now};
    }
    const auto found = groups_.find(group);
    if (found == groups_.end())
        return;
    auto& state = found->second;
    const bool others_wait = std::any_of(
        state.waiting.begin(), state.waiting.end(), [&](const auto& other) {
            return other.second.since < request.since ||
                   other.second.priority > request.priority;
        });
    if (has_turn(group, request))
        state.sends_since_turn = 0;
    else if (others_wait)
        ++state.sends_since_turn;
}

bool waiting_room::is_over_share(const service_id& service,
                                 const waiting_request& request,
                                 time_point now) const
{
    const auto known = served_.find(service);
    if (request.organisation.value().empty() || known == served_.end())
        return false;
    double sum = 0.0;
    double active = 0.0;
    for (const auto& [organisation, work] : known->second) {
        const double recent = decayed(work, now);
        if (recent < request.own_ms / request.weight)
            continue;
        sum += recent;
        active += 1.0;
    }
    const double own = served(service, request.organisation, now);
    return active > 1.0 &&
           own * request.weight > min_share_requests * request.own_ms &&
           own > over_share_ratio * sum / active;
}

duration waiting_room::promise_return(const server_group& group,
                                      duration room_in,
                                      double spacing_ms,
                                      duration bound,
                                      double draw,
                                      time_point now)
{
    auto& state = groups_[group];
    const duration spacing(static_cast<std::int64_t>(std::ceil(spacing_ms)));
    const auto at = std::max(now + room_in, state.promised_until + spacing);
    const auto latest = now + bound;
    if (at <= latest) {
        state.promised_until = at;
        return at - now;
    }
    // Some come back before there is room; at least not all together.
    constexpr double spread = 0.5;
    return duration(static_cast<std::int64_t>(
        static_cast<double>(bound.count()) * (1.0 - spread * draw)));
}

} // namespace barleyfork
