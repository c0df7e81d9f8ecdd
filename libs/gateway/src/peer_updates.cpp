#include "peer_updates.hpp"

#include "peer_records.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/core/holder_change.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// Heartbeat of a lease holder that has no changes to send: four heartbeats fit
/// into the time for which its claim on the list of servers is valid.
constexpr duration heartbeat_interval{200};
constexpr duration holder_timeout{1800};
/// Maximum number of servers that are shutting down in one message.
constexpr std::size_t max_leaving_per_message = 256;
/// How long a daemon repeats to the holder what a server said of its limit; the
/// holder repeats it for twice as long.
constexpr duration limit_report_age{2000};
constexpr std::size_t max_limits_per_message = 256;
/// Maximum number of daemons asked at once whether a restored store lacks a
/// newer configuration.
constexpr std::size_t max_peers_asked_for_proof = 2;

} // namespace

peer_updates::peer_updates(gateway_context& context, store_watch& watch)
    : context_(context), watch_(watch),
      link_(context.serving,
            context.settings.address,
            context.settings.peer_secret,
            [this](const schema::peer_message_record& message) {
                receive(message);
            }),
      started_ms_(static_cast<std::uint64_t>(wall_clock_ms())),
      started_at_(steady_now()), refusals_(context), suspicions_(context)
{
    context_.quotas.on_send([this](const instance_id& to,
                                   schema::message_kind kind,
                                   quota_exchange::transfer tokens) {
        send_tokens(to, kind, std::move(tokens));
    });
    watch.on_changes_missed([this] { request_missed_changes(); });
    watch.on_list_read([this] {
        if (!is_lease_holder_ && !is_holder_responsive(steady_now()))
            send_following();
    });
}

bool peer_updates::listen()
{
    return link_.listen(context_.settings.address,
                        context_.settings.peer_port) != 0;
}

schema::peer_message_record
peer_updates::make_message(schema::message_kind kind)
{
    schema::peer_message_record message;
    message.kind = kind;
    message.sequence = ++sequence_;
    message.sender = std::make_unique<schema::member_record>();
    message.sender->instance = context_.self.value();
    message.sender->incarnation = started_ms_;
    message.address = context_.settings.address;
    message.port = context_.settings.peer_port;
    message.failure_domain = context_.settings.failure_domain;
    message.configuration_version = watch_.configuration_version();
    message.link_mbps = static_cast<float>(context_.settings.link_mbps);
    message.store_era = context_.era().current();
    const auto configuration = watch_.configuration_position();
    message.configuration_position = configuration.number();
    message.configuration_era = configuration.era();
    message.configuration_age_ms =
        age_ms(context_.configuration_known_at, steady_now());
    if (context_.configuration_confirmed_at)
        message.configuration_confirmed_ms =
            context_.clock_of_store.bounds()
                .reading_reached_at(*context_.configuration_confirmed_at)
                .value_or(0);
    const auto list = watch_.list_position();
    message.list_position = list.number();
    message.list_era = list.era();
    message.list_age_ms = age_ms(watch_.list_known_at(), steady_now());
    return message;
}

asio::awaitable<void> peer_updates::run()
{
    for (;;) {
        const auto interval = context_.update_interval();
        co_await sleep_for_ms((is_lease_holder_
                                   ? std::min(interval, heartbeat_interval)
                                   : interval)
                                  .count());
        const auto now = steady_now();
        process_refusals(now);
        update_quota_sharers();
        if (is_lease_holder_ && now >= heartbeat_due_at_)
            announce({});
        if (!is_lease_holder_)
            send_demand();
        if (watch_.awaits_proof())
            request_snapshots_from_random_peers(max_peers_asked_for_proof);
        else if (!watch_.is_reachable())
            request_snapshots_from_random_peers(1);
    }
}

void peer_updates::send_demand()
{
    const auto now = steady_now();
    auto& demand_to_report = context_.demand_to_report;
    const auto outstanding = context_.loads.own_work();
    const bool empty = demand_to_report.work.empty() &&
                       demand_to_report.needs.empty() && outstanding.empty() &&
                       !sent_outstanding_ && !holder_is_behind_ &&
                       context_.unreported_shutdowns.empty() &&
                       context_.limits.recent(limit_report_age, now).empty();
    if (is_lease_holder_ || empty)
        return;
    sent_outstanding_ = !outstanding.empty();
    if (!holder_ || !is_holder_responsive(now)) {
        demand_to_report = placement_demand();
        return;
    }
    auto message = make_message(schema::message_kind::demand);
    for (const auto& [model, work] : demand_to_report.work) {
        auto demand = std::make_unique<schema::model_demand_record>();
        demand->model = model.value();
        demand->work = static_cast<float>(work);
        message.demand.push_back(std::move(demand));
    }
    for (const auto& need : demand_to_report.needs)
        message.needs.push_back(to_record(need));
    for (const auto& use : demand_to_report.uses)
        message.uses.push_back(to_record(use));
    message.work = to_records(outstanding);
    for (const auto& use : context_.adapters.list())
        message.running.emplace_back(use.server, use.adapter);
    demand_to_report = placement_demand();
    add_leaving(message);
    add_limits(message);
    link_.send(*holder_, message, false);
}

update_position
peer_updates::announce(std::span<const server_residents> changed)
{
    const auto now = steady_now();
    heartbeat_due_at_ = now + heartbeat_interval;
    const update_position order{epoch_, ++update_sequence_};
    auto message = make_message(schema::message_kind::placement);
    message.epoch = order.epoch;
    message.sequence = order.sequence;
    message.work = to_records(context_.loads.all_work(now));
    message.quarantine_digest = context_.quarantine.digest(now);
    for (const auto& blame : take_unsent_blames())
        message.quarantine.push_back(to_record(blame));
    add_answered_parts(message);
    for (const auto& server : changed)
        message.servers.push_back(to_record(server));
    add_list_changes(message);
    add_leaving(message);
    add_limits(message);
    send_to_all(std::move(message), now);
    return order;
}

/// Adds the changes of the server list that have not been sent yet.
void peer_updates::add_list_changes(schema::peer_message_record& message)
{
    const auto changes = watch_.take_relayed_rows();
    message.list_since = changes.since.number();
    message.list_since_era = changes.since.era();
    for (const auto& row : changes.rows)
        message.rows.push_back(to_record(row));
}

/// Adds servers that announced their shutdown; those beyond the maximum are
/// sent with the next message.
void peer_updates::add_leaving(schema::peer_message_record& message)
{
    auto& unsent = context_.unreported_shutdowns;
    const auto count = std::min(unsent.size(), max_leaving_per_message);
    const auto last =
        std::next(unsent.begin(), static_cast<std::ptrdiff_t>(count));
    for (auto next = unsent.begin(); next != last; ++next)
        message.leaving.push_back(to_record(*next));
    unsent.erase(unsent.begin(), last);
}

/// Marks servers as shutting down. A process that is not listed here, no longer
/// or not yet, is skipped.
void peer_updates::apply_leaving(const schema::peer_message_record& message)
{
    for (const auto& record : message.leaving) {
        const server_process process{server_id(record->server),
                                     record->started_ms};
        if (!context_.directory.leaves(process.server, process.started_ms))
            continue;
        if (is_lease_holder_)
            context_.unreported_shutdowns.push_back(process);
        log_event(log_level::info, "server_said_to_leave")
            .with("server", process.server.value())
            .with("sender", message.sender->instance);
    }
}

/// Adds the limits that servers named lately, and those that they no longer
/// name. They are repeated, so that a lost message makes no difference.
void peer_updates::add_limits(schema::peer_message_record& message)
{
    const auto now = steady_now();
    auto recent = context_.limits.recent(
        is_lease_holder_ ? 2 * limit_report_age : limit_report_age, now);
    recent.resize(std::min(recent.size(), max_limits_per_message));
    for (const auto& observation : recent)
        message.limits.push_back(to_record(observation, now));
}

void peer_updates::apply_limits(const schema::peer_message_record& message)
{
    const auto now = steady_now();
    for (const auto& record : message.limits)
        context_.observe_limit(to_observation(*record, now),
                               message.sender->instance);
}

/// Sends a message to all daemons. In each other failure domain one daemon
/// receives it and relays it: traffic between domains is charged by volume, and
/// a holder's link is narrow.
void peer_updates::send_to_all(schema::peer_message_record message,
                               time_point now)
{
    const failure_domain_id own(context_.settings.failure_domain);
    link_.broadcast(neighbours(), message);
    std::set<failure_domain_id> domains;
    for (const auto& [id, entry] : members_)
        domains.insert(entry.failure_domain);
    message.pass_on = true;
    std::vector<peer_address> relays;
    for (const auto& domain : domains)
        if (const auto* relay = domain == own ? nullptr : relay_of(domain, now))
            relays.push_back(relay->address);
    link_.broadcast(relays, message);
}

/// Returns the daemon that relays updates in a failure domain, or null if there
/// is none.
const peer_updates::member*
peer_updates::relay_of(const failure_domain_id& domain, time_point now)
{
    std::vector<relay_candidate> candidates;
    for (const auto& [id, entry] : members_)
        if (entry.failure_domain == domain)
            candidates.push_back({id, entry.last_seen_at});
    const auto chosen = relays_.pick(domain, candidates, now);
    return chosen ? &members_.at(candidates[*chosen].id) : nullptr;
}

std::vector<peer_address> peer_updates::neighbours() const
{
    const failure_domain_id domain(context_.settings.failure_domain);
    std::vector<peer_address> found;
    for (const auto& [id, entry] : members_)
        if (id != context_.self && entry.failure_domain == domain)
            found.push_back(entry.address);
    return found;
}

void peer_updates::relay_to_neighbours(
    const schema::peer_message_record& message)
{
    schema::peer_message_record copy;
    copy = message;
    copy.pass_on = false;
    link_.broadcast(neighbours(), copy);
}

void peer_updates::set_lease_holder(bool is_holder, std::uint64_t epoch)
{
    is_lease_holder_ = is_holder;
    epoch_ = epoch;
}

void peer_updates::start_holding_lease(std::uint64_t epoch)
{
    set_lease_holder(true, epoch);
    announce({});
}

bool peer_updates::is_holder_responsive(time_point now) const
{
    return holder_.has_value() && now < holder_last_seen_at_ + holder_timeout;
}

void peer_updates::receive(const schema::peer_message_record& message)
{
    const instance_id sender(message.sender->instance);
    const peer_address address{message.address, message.port};
    auto& known = members_[sender];
    known.address = address;
    known.failure_domain = failure_domain_id(message.failure_domain);
    known.link_mbps = message.link_mbps;
    known.last_seen_at = steady_now();
    known.started_ms = message.sender->incarnation;
    context_.observe_store_era(message.store_era);
    request_newer_configuration(message);
    confirm_configuration(message);
    apply_leaving(message);
    apply_limits(message);
    switch (message.kind) {
    case schema::message_kind::placement:
        if (message.pass_on)
            relay_to_neighbours(message);
        on_placement(message);
        return;
    case schema::message_kind::demand:
        context_.loads.on_peer_work(
            sender, to_work(message.work), steady_now());
        if (on_demand_)
            on_demand_(message);
        return;
    case schema::message_kind::snapshot_request:
        send_snapshot(message);
        return;
    case schema::message_kind::snapshot:
        apply_snapshot(message);
        return;
    case schema::message_kind::following:
        on_following(message, known);
        return;
    case schema::message_kind::crashes:
        on_crashes(message);
        return;
    case schema::message_kind::quota_request:
    case schema::message_kind::quota_grant:
        if (message.tokens)
            context_.quotas.receive({sender, message.sender->incarnation},
                                    message.kind,
                                    *message.tokens);
        return;
    default:
        log_event(log_level::warn, "peer_message_ignored")
            .with("sender", sender.value());
    }
}

/// Sends tokens to a daemon, or asks it for some.
void peer_updates::send_tokens(const instance_id& to,
                               schema::message_kind kind,
                               quota_exchange::transfer tokens)
{
    const auto found = members_.find(to);
    if (found == members_.end())
        return;
    auto message = make_message(kind);
    message.tokens = std::move(tokens);
    link_.send(found->second.address, message, false);
}

void peer_updates::on_placement(const schema::peer_message_record& message)
{
    if (message.epoch < holder_epoch_)
        return;
    if (message.released) {
        on_release(message);
        return;
    }
    const auto now = steady_now();
    holder_epoch_ = message.epoch;
    holder_last_seen_at_ = now;
    holder_ = peer_address{message.address, message.port};
    watch_.apply_relayed_rows(extract_rows(message),
                              extract_list_claim(message, now));
    apply_answered_parts(message);
    merge_blames(extract_blames(message));
    compare_refusals(message, now);
    holder_is_behind_ =
        message.configuration_version < watch_.configuration_version();
    // The sum of all other daemons has one id, whichever daemon is the holder.
    context_.loads.on_peer_work(
        instance_id("all"),
        context_.loads.subtract_own_work(to_work(message.work)),
        now);
    bool changed = false;
    for (const auto& server : message.servers)
        changed |= context_.directory.learn(server_id(server->server),
                                            to_resident_state(*server),
                                            {message.epoch, message.sequence},
                                            now);
    if (changed)
        context_.wake_waiting_calls();
}

/// Processes the release of the lease. Updates of the released epoch that are
/// still in flight are ignored from now on.
void peer_updates::on_release(const schema::peer_message_record& message)
{
    holder_epoch_ = message.epoch + 1;
    holder_.reset();
    if (on_released_)
        on_released_(message.successor == context_.self.value());
}

instance_id peer_updates::pick_successor(time_point now) const
{
    std::vector<successor_candidate> candidates;
    for (const auto& [id, entry] : members_)
        if (id != context_.self)
            candidates.push_back(
                {id, entry.link_mbps, entry.started_ms, entry.last_seen_at});
    const auto chosen = choose_successor(candidates, now);
    return chosen ? candidates[*chosen].id : instance_id();
}

void peer_updates::announce_release(std::uint64_t epoch,
                                    const instance_id& successor)
{
    auto message = make_message(schema::message_kind::placement);
    message.epoch = epoch;
    message.released = true;
    message.successor = successor.value();
    send_to_all(std::move(message), steady_now());
}

} // namespace barleyfork
