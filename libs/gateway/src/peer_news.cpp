#include "peer_news.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/core/holder_change.hpp>

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace barleyfork {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char* member_table = "barleyfork_members";
/// A holder that has nothing to tell still shows that it is there: four times
/// while its word on the list of servers stands.
constexpr duration beat_interval{200};
constexpr duration holder_silence{1800};
/// How often the list of daemons is read; the holder, which tells them all,
/// learns of new ones from themselves too.
constexpr std::int64_t member_interval_ms = 60000;
constexpr std::int64_t holder_member_interval_ms = 3000;
constexpr std::int64_t member_pause_ms = 600;
constexpr std::int64_t retry_pause_ms = 700;
/// Neighbours that a starting daemon asks for what they know.
constexpr std::size_t neighbours_asked = 2;

schema::server_news_record to_record(const server_holding& news)
{
    schema::server_news_record record;
    record.server = news.server.value();
    record.started_ms = news.held.started_ms;
    for (const auto& held : news.held.models) {
        auto model = std::make_unique<schema::resident_news_record>();
        model->model = held.model.value();
        model->ready = held.ready;
        model->adapters = held.adapters;
        record.models.push_back(std::move(model));
    }
    return record;
}

held_state to_held(const schema::server_news_record& record)
{
    held_state held;
    held.started_ms = record.started_ms;
    for (const auto& model : record.models)
        held.models.push_back(
            {model_id(model->model), model->ready, model->adapters});
    return held;
}

std::unique_ptr<schema::adapter_need_record>
to_record(const std::pair<model_id, std::string>& adapter)
{
    auto record = std::make_unique<schema::adapter_need_record>();
    record->model = adapter.first.value();
    record->adapter = adapter.second;
    return record;
}

constexpr std::uint64_t hundred = 100;

std::uint32_t age_ms(time_point known_at, time_point now)
{
    constexpr std::int64_t oldest_ms = 3600000;
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>((now - known_at).count(), 0, oldest_ms));
}

list_claim claim_of(const schema::peer_message_record& message, time_point now)
{
    return {message.list_since,
            message.list_position,
            now - duration(message.list_age_ms)};
}

std::uint16_t to_short(std::uint64_t number)
{
    constexpr std::uint64_t largest = 65535;
    return static_cast<std::uint16_t>(std::min(number, largest));
}

std::vector<schema::outstanding_work>
to_records(std::span<const peer_work> work)
{
    std::vector<schema::outstanding_work> records;
    for (const auto& entry : work) {
        const auto& tokens = entry.tokens.by_class;
        records.emplace_back(entry.server,
                             to_short(entry.requests),
                             to_short(tokens[0] / hundred),
                             to_short(tokens[1] / hundred),
                             to_short(tokens[2] / hundred));
    }
    return records;
}

std::vector<peer_work>
to_work(std::span<const schema::outstanding_work> records)
{
    std::vector<peer_work> work;
    for (const auto& record : records)
        work.push_back({record.server_hash(),
                        record.requests(),
                        {{record.hundred_tokens_0() * hundred,
                          record.hundred_tokens_1() * hundred,
                          record.hundred_tokens_2() * hundred}}});
    return work;
}

std::unique_ptr<schema::listed_row_record> to_record(const store_row& row)
{
    auto record = std::make_unique<schema::listed_row_record>();
    record->key = row.key;
    record->value.assign(row.value.begin(), row.value.end());
    record->version = row.version;
    record->deleted = row.deleted;
    return record;
}

store_row to_row(const schema::listed_row_record& record)
{
    store_row row;
    row.key = record.key;
    row.value.assign(record.value.begin(), record.value.end());
    row.version = record.version;
    row.deleted = record.deleted;
    return row;
}

std::vector<store_row> rows_of(const schema::peer_message_record& message)
{
    std::vector<store_row> rows;
    for (const auto& row : message.rows)
        rows.push_back(to_row(*row));
    return rows;
}

} // namespace

peer_news::peer_news(gateway_context& context, store_watch& watch)
    : context_(context), watch_(watch),
      link_(context.serving,
            context.settings.address,
            context.settings.peer_secret,
            [this](schema::peer_message_record message) { receive(message); }),
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

/// Writes this daemon's row; one of an earlier process is replaced.
asio::awaitable<void> peer_news::register_self()
{
    json::object value;
    value["address"] = context_.settings.address;
    value["port"] = context_.settings.peer_port;
    value["failure_domain"] = context_.settings.failure_domain;
    value["link_mbps"] = context_.settings.link_mbps;
    const auto text = json::serialize(value);
    const auto key = context_.self.value();
    while (own_row_.value != text) {
        context_.measures.count_store_call(store_purpose::members, "register");
        const auto written = co_await context_.platform.store->write_row(
            member_table, key, text, own_row_.version);
        if (written.end == store_write_end::done)
            co_return;
        if (written.end != store_write_end::conflict)
            co_await sleep_for_ms(retry_pause_ms);
        co_await read_members();
    }
}

asio::awaitable<bool> peer_news::read_members()
{
    context_.measures.count_store_call(store_purpose::members, "read");
    const auto read =
        co_await context_.platform.store->read_table(member_table);
    if (!read.error)
        take_members(read);
    co_return !read.error;
}

asio::awaitable<void> peer_news::follow_members()
{
    // A daemon that starts anew finds its neighbours listed.
    if (co_await read_members())
        ask_neighbours();
    const bool listed_before = own_row_.version > 0;
    co_await register_self();
    // Those that start for the first time together are listed by now.
    co_await sleep_for_ms(listed_before ? member_interval_ms : member_pause_ms);
    for (;;) {
        const bool done = co_await read_members();
        const bool sparse = done && !holding_;
        co_await sleep_for_ms(!done    ? retry_pause_ms
                              : sparse ? member_interval_ms
                                       : holder_member_interval_ms);
    }
}

void peer_news::take_members(const store_read& read)
{
    own_row_ = store_row();
    for (const auto& row : read.rows) {
        if (row.key == context_.self.value())
            own_row_ = row;
        take_member(row);
    }
    context_.set_daemons(members_.size());
    place_self();
}

void peer_news::take_member(const store_row& row)
{
    const instance_id id(row.key);
    if (row.deleted) {
        members_.erase(id);
        return;
    }
    boost::system::error_code error;
    const auto value = json::parse(row.value, error);
    if (error || !value.is_object()) {
        log_event(log_level::warn, "member_row_unreadable")
            .with("instance", row.key);
        return;
    }
    const auto* address = value.as_object().if_contains("address");
    const auto* port = value.as_object().if_contains("port");
    const auto* domain = value.as_object().if_contains("failure_domain");
    const auto* link = value.as_object().if_contains("link_mbps");
    if (address == nullptr || !address->is_string() || port == nullptr ||
        !port->is_number() || domain == nullptr || !domain->is_string())
        return;
    auto& entry = members_[id];
    entry.address = {std::string(address->as_string()),
                     port->to_number<std::uint16_t>()};
    entry.failure_domain = failure_domain_id(std::string(domain->as_string()));
    if (link != nullptr && link->is_number())
        entry.link_mbps = link->to_number<double>();
}

/// Finds this daemon's place among its neighbours.
void peer_news::place_self()
{
    const failure_domain_id own(context_.settings.failure_domain);
    const reader_rank self{context_.settings.link_mbps, context_.self};
    std::size_t better = 0;
    for (const auto& [id, entry] : members_)
        if (id != context_.self && entry.failure_domain == own &&
            reader_rank{entry.link_mbps, id}.is_better_than(self))
            ++better;
    watch_.readers().set_better_placed(better);
}

/// A daemon that starts asks some neighbours, so that what is known in its
/// failure domain need not come from the store once more.
void peer_news::ask_neighbours()
{
    auto known = neighbours();
    std::shuffle(known.begin(), known.end(), context_.random);
    known.resize(std::min(known.size(), neighbours_asked));
    for (const auto& neighbour : known)
        request_snapshot(neighbour);
}

asio::awaitable<void> peer_news::speak_to_neighbours()
{
    for (;;) {
        speak();
        co_await sleep_for_ms(reader_word_interval.count());
    }
}

void peer_news::speak()
{
    const bool follows = watch_.follows();
    if (follows || told_following_) {
        auto message = make_message(schema::message_kind::following);
        message.follows = follows;
        if (!holding_)
            add_list_changes(message);
        link_.broadcast(neighbours(), message);
    }
    told_following_ = follows;
}

void peer_news::pass_configuration_on()
{
    if (!watch_.follows())
        return;
    const auto& bytes = watch_.configuration_bytes();
    auto message = make_message(schema::message_kind::snapshot);
    message.body.assign(bytes.begin(), bytes.end());
    link_.broadcast(neighbours(), message);
}

/// A reader that knows more is asked for it; one that does not shows that
/// what is known here is all there is.
void peer_news::on_reader_word(const schema::peer_message_record& message,
                               const member& speaker)
{
    watch_.readers().on_word(
        {message.link_mbps, instance_id(message.sender->instance)},
        message.follows,
        steady_now());
    if (!message.follows)
        return;
    watch_.take_told(rows_of(message), claim_of(message, steady_now()));
    const bool newer = message.configuration_version > configuration_version();
    const bool list = watch_.list_position() == 0 && message.list_position > 0;
    if (newer || list)
        request_snapshot(speaker.address);
    if (message.configuration_version == configuration_version())
        watch_.configuration_known_to(message.configuration_position);
}

asio::awaitable<void> peer_news::run()
{
    for (;;) {
        const auto interval = context_.news_interval();
        co_await sleep_for_ms(
            (holding_ ? std::min(interval, beat_interval) : interval).count());
        const auto now = steady_now();
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
                       outstanding.empty() && !told_outstanding_;
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
    link_.send(*holder_, std::move(message), false);
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
    for (const auto& news : changed)
        message.servers.push_back(
            std::make_unique<schema::server_news_record>(to_record(news)));
    add_list_changes(message);
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

holder_rank peer_news::rank_as_holder() const
{
    holder_rank rank;
    rank.daemons = std::max<std::size_t>(members_.size(), 1);
    const double own = context_.settings.link_mbps;
    double best = own;
    for (const auto& [id, entry] : members_) {
        best = std::max(best, entry.link_mbps);
        if (id != context_.self && entry.link_mbps >= own)
            ++rank.equals;
    }
    rank.handicap = best > 0.0 ? 1.0 - own / best : 0.0;
    return rank;
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

/// Asks the reader of the failure domain for changes that were missed.
void peer_news::ask_reader()
{
    const auto reader = watch_.readers().best_reader(steady_now());
    const auto found = reader ? members_.find(*reader) : members_.end();
    if (found != members_.end())
        request_snapshot(found->second.address);
}

/// Neighbours have their reader; a reader whose call to the store hangs, and
/// the holder, whose word the readers hear, ask whoever knows more.
void peer_news::catch_up(const schema::peer_message_record& message)
{
    const bool behind = catchup_.hear(
        message.configuration_version, configuration_version(), steady_now());
    const bool asks = holding_ || watch_.readers().is_reader();
    if (behind && asks)
        request_snapshot({message.address, message.port});
}

/// Sends what the asking daemon does not know yet.
void peer_news::send_snapshot(const schema::peer_message_record& request)
{
    const bool newer = request.configuration_version < configuration_version();
    std::optional<std::vector<store_row>> rows;
    if (request.list_position < watch_.list_position())
        rows = watch_.rows_after(request.list_position);
    if (!newer && !rows)
        return;
    auto message = make_message(schema::message_kind::snapshot);
    const auto& bytes = watch_.configuration_bytes();
    if (newer)
        message.body.assign(bytes.begin(), bytes.end());
    if (rows) {
        message.list_since = request.list_position;
        for (const auto& row : *rows)
            message.rows.push_back(to_record(row));
    }
    link_.send({request.address, request.port}, std::move(message), false);
}

void peer_news::take_snapshot(const schema::peer_message_record& message)
{
    if (!message.body.empty())
        watch_.take_configuration(
            std::string_view(reinterpret_cast<const char*>(message.body.data()),
                             message.body.size()),
            message.sender->instance);
    if (message.list_since > 0 || !message.rows.empty())
        watch_.take_list_of_neighbour(rows_of(message),
                                      claim_of(message, steady_now()));
}

void peer_news::request_snapshot(const peer_address& from)
{
    link_.send(
        from, make_message(schema::message_kind::snapshot_request), false);
}

/// Asks one peer, picked by chance, for the newest configuration.
void peer_news::ask_for_snapshot()
{
    if (members_.size() < 2)
        return;
    auto index = context_.random() % members_.size();
    auto peer = members_.begin();
    std::advance(peer, static_cast<std::ptrdiff_t>(index));
    if (peer->first != context_.self)
        request_snapshot(peer->second.address);
}

} // namespace barleyfork
