/// The part of the news that finds the other daemons and shares with those of
/// the failure domain what was read from the store.

#include "peer_news.hpp"

#include "peer_records.hpp"

#include <barleyfork/base/log.hpp>

#include <algorithm>
#include <boost/json.hpp>

namespace barleyfork {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char* member_table = "barleyfork_members";
/// How often the list of daemons is read; the holder, which tells them all,
/// learns of new ones from themselves too.
constexpr std::int64_t member_interval_ms = 60000;
constexpr std::int64_t holder_interval_ms = 3000;
/// After a reading that failed too.
constexpr std::int64_t member_pause_ms = 600;
constexpr std::int64_t retry_pause_ms = 700;
/// Neighbours that a starting daemon asks for what they know.
constexpr std::size_t neighbours_asked = 2;

} // namespace

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
    // One that is new here learns from the holder; where all end at once,
    // some of those that were listed come back.
    if (listed_before)
        context_.serving.spawn(read_refusals());
    co_await register_self();
    // Those that start for the first time together are listed after a pause.
    auto read_at =
        steady_now() - duration(listed_before ? 0 : member_interval_ms);
    for (;;) {
        co_await sleep_for_ms(member_pause_ms);
        // A holder must know all of them, one that just began too.
        const duration interval(holding_ ? holder_interval_ms
                                         : member_interval_ms);
        if (steady_now() < read_at + interval)
            continue;
        if (co_await read_members())
            read_at = steady_now();
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
    link_.send({request.address, request.port}, message, false);
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
