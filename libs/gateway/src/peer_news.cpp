#include "peer_news.hpp"

#include "peer_records.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/core/holder_change.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// A holder that has nothing to tell still shows that it is there: four times
/// while its word on the list of servers stands.
constexpr duration beat_interval{200};
constexpr duration holder_silence{1800};
/// Leaving servers in one message.
constexpr std::size_t most_told_leaving = 256;

} // namespace

peer_news::peer_news(gateway_context& context, store_watch& watch)
    : context_(context), watch_(watch),
      link_(context.serving,
            context.settings.address,
            context.settings.peer_secret,
            [this](const schema::peer_message_record& message) {
                receive(message);
            }),
      started_ms_(static_cast<std::uint64_t>(wall_clock_ms()))
{
    watch.on_missed([this] { ask_reader(); });
    watch.on_list_read([this] {
        if (!holding_ && !hears_holder(steady_now()))
            speak();
    });
}

bool peer_news::listen()
{
    return link_.listen(context_.settings.address,
                        context_.settings.peer_port) != 0;
}

schema::peer_message_record peer_news::make_message(schema::message_kind kind)
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
    message.configuration_version = configuration_version();
    message.link_mbps = static_cast<float>(context_.settings.link_mbps);
    message.configuration_position = watch_.configuration_position();
    message.list_position = watch_.list_position();
    message.list_age_ms = age_ms(watch_.list_known_at(), steady_now());
    return message;
}

/// The version in force here; 0 where none is.
std::uint64_t peer_news::configuration_version() const noexcept
{
    return context_.configuration ? context_.configuration->version : 0;
}

asio::awaitable<void> peer_news::run()
{
    for (;;) {
        const auto interval = context_.news_interval();
        co_await sleep_for_ms(
            (holding_ ? std::min(interval, beat_interval) : interval).count());
        const auto now = steady_now();
        note_refusals(now);
        if (holding_ && now >= beat_at_)
            announce({});
        if (!holding_)
            send_demand();
        if (!watch_.reachable())
            ask_for_snapshot();
    }
}

void peer_news::send_demand()
{
    auto& wishes = context_.wishes;
    const auto outstanding = context_.loads.own_work();
    const bool empty = wishes.work.empty() && wishes.needs.empty() &&
                       outstanding.empty() && !told_outstanding_ &&
                       !holder_is_behind_ && context_.untold_leaving.empty();
    if (holding_ || empty)
        return;
    told_outstanding_ = !outstanding.empty();
    if (!holder_ || !hears_holder(steady_now())) {
        wishes = placement_wishes();
        return;
    }
    auto message = make_message(schema::message_kind::demand);
    for (const auto& [model, work] : wishes.work) {
        auto demand = std::make_unique<schema::model_demand_record>();
        demand->model = model.value();
        demand->work = static_cast<float>(work);
        message.demand.push_back(std::move(demand));
    }
    for (const auto& need : wishes.needs)
        message.needs.push_back(to_record(need));
    for (const auto& use : wishes.uses)
        message.uses.push_back(to_record(use));
    message.work = to_records(outstanding);
    for (const auto& use : context_.adapters.list())
        message.running.emplace_back(use.server, use.adapter);
    wishes = placement_wishes();
    add_leaving(message);
    link_.send(*holder_, message, false);
}

news_order peer_news::announce(std::span<const server_holding> changed)
{
    const auto now = steady_now();
    beat_at_ = now + beat_interval;
    const news_order order{epoch_, ++announced_};
    auto message = make_message(schema::message_kind::placement);
    message.epoch = order.epoch;
    message.sequence = order.sequence;
    message.work = to_records(context_.loads.all_work(now));
    message.quarantine_digest = context_.quarantine.digest(now);
    for (const auto& told : take_untold_blames())
        message.quarantine.push_back(to_record(told));
    for (const auto& news : changed)
        message.servers.push_back(to_record(news));
    add_list_changes(message);
    add_leaving(message);
    send_to_all(std::move(message), now);
    return order;
}

/// Changes of the list that were not told yet go with the message.
void peer_news::add_list_changes(schema::peer_message_record& message)
{
    const auto changes = watch_.take_relayed_rows();
    message.list_since = changes.since;
    for (const auto& row : changes.rows)
        message.rows.push_back(to_record(row));
}

/// Servers that said that they leave; what is too much goes next time.
void peer_news::add_leaving(schema::peer_message_record& message)
{
    auto& untold = context_.untold_leaving;
    const auto count = std::min(untold.size(), most_told_leaving);
    const auto last =
        std::next(untold.begin(), static_cast<std::ptrdiff_t>(count));
    for (auto next = untold.begin(); next != last; ++next)
        message.leaving.push_back(to_record(*next));
    untold.erase(untold.begin(), last);
}

/// A process that is not listed here any more, or not yet, is passed over.
void peer_news::take_leaving(const schema::peer_message_record& message)
{
    for (const auto& record : message.leaving) {
        const server_process process{server_id(record->server),
                                     record->started_ms};
        if (!context_.directory.leaves(process.server, process.started_ms))
            continue;
        if (holding_)
            context_.untold_leaving.push_back(process);
        log_event(log_level::info, "server_said_to_leave")
            .with("server", process.server.value())
            .with("sender", message.sender->instance);
    }
}

/// In each other failure domain one daemon gets the message and passes it on:
/// traffic between domains is paid by volume, and a holder's link is narrow.
void peer_news::send_to_all(schema::peer_message_record message, time_point now)
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

/// The daemon that passes news on in a failure domain.
const peer_news::member* peer_news::relay_of(const failure_domain_id& domain,
                                             time_point now)
{
    std::vector<relay_candidate> candidates;
    for (const auto& [id, entry] : members_)
        if (entry.failure_domain == domain)
            candidates.push_back({id, entry.heard_at});
    const auto chosen = relays_.pick(domain, candidates, now);
    return chosen ? &members_.at(candidates[*chosen].id) : nullptr;
}

std::vector<peer_address> peer_news::neighbours() const
{
    const failure_domain_id domain(context_.settings.failure_domain);
    std::vector<peer_address> found;
    for (const auto& [id, entry] : members_)
        if (id != context_.self && entry.failure_domain == domain)
            found.push_back(entry.address);
    return found;
}

void peer_news::pass_on(const schema::peer_message_record& message)
{
    schema::peer_message_record copy;
    copy = message;
    copy.pass_on = false;
    link_.broadcast(neighbours(), copy);
}

void peer_news::set_holding(bool holds, std::uint64_t epoch)
{
    holding_ = holds;
    epoch_ = epoch;
}

void peer_news::begin_holding(std::uint64_t epoch)
{
    set_holding(true, epoch);
    announce({});
}

bool peer_news::hears_holder(time_point now) const
{
    return holder_.has_value() && now < holder_heard_at_ + holder_silence;
}

void peer_news::receive(const schema::peer_message_record& message)
{
    const instance_id sender(message.sender->instance);
    const peer_address address{message.address, message.port};
    auto& known = members_[sender];
    known.address = address;
    known.failure_domain = failure_domain_id(message.failure_domain);
    known.link_mbps = message.link_mbps;
    known.heard_at = steady_now();
    known.started_ms = message.sender->incarnation;
    catch_up(message);
    take_leaving(message);
    switch (message.kind) {
    case schema::message_kind::placement:
        if (message.pass_on)
            pass_on(message);
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
        take_snapshot(message);
        return;
    case schema::message_kind::following:
        on_reader_word(message, known);
        return;
    case schema::message_kind::crashes:
        on_crashes(message);
        return;
    default:
        log_event(log_level::warn, "peer_message_ignored")
            .with("sender", sender.value());
    }
}

void peer_news::on_placement(const schema::peer_message_record& message)
{
    if (message.epoch < holder_epoch_)
        return;
    if (message.released) {
        on_release(message);
        return;
    }
    const auto now = steady_now();
    holder_epoch_ = message.epoch;
    holder_heard_at_ = now;
    holder_ = peer_address{message.address, message.port};
    watch_.take_told(rows_of(message), claim_of(message, now));
    take_blames(blames_of(message));
    compare_refusals(message, now);
    holder_is_behind_ = message.configuration_version < configuration_version();
    // One name for the sum of all others, whoever the holder is.
    context_.loads.on_peer_work(
        instance_id("all"),
        context_.loads.without_own(to_work(message.work)),
        now);
    bool changed = false;
    for (const auto& news : message.servers)
        changed |= context_.directory.learn(server_id(news->server),
                                            to_held(*news),
                                            {message.epoch, message.sequence},
                                            now);
    if (changed)
        context_.wake_waiting();
}

/// News of the epoch that may still be under way is not the holder's any
/// more.
void peer_news::on_release(const schema::peer_message_record& message)
{
    holder_epoch_ = message.epoch + 1;
    holder_.reset();
    if (on_released_)
        on_released_(message.successor == context_.self.value());
}

instance_id peer_news::successor(time_point now) const
{
    std::vector<successor_candidate> candidates;
    for (const auto& [id, entry] : members_)
        if (id != context_.self)
            candidates.push_back(
                {id, entry.link_mbps, entry.started_ms, entry.heard_at});
    const auto chosen = choose_successor(candidates, now);
    return chosen ? candidates[*chosen].id : instance_id();
}

void peer_news::announce_release(std::uint64_t epoch,
                                 const instance_id& successor)
{
    auto message = make_message(schema::message_kind::placement);
    message.epoch = epoch;
    message.released = true;
    message.successor = successor.value();
    send_to_all(std::move(message), steady_now());
}

} // namespace barleyfork
