/// The part of the peer updates that finds the other daemons and shares with
/// the daemons of its failure domain the data read from the store.

#include "peer_updates.hpp"

#include "peer_records.hpp"

#include <barleyfork/base/log.hpp>

#include <algorithm>
#include <boost/json.hpp>
#include <iterator>

namespace barleyfork {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char* member_table = "barleyfork_members";
/// Intervals between reads of the list of daemons. The holder, which sends to
/// all of them, also learns of new ones from their own messages.
constexpr std::int64_t member_interval_ms = 60000;
constexpr std::int64_t holder_interval_ms = 3000;
/// Time after which all daemons have read of a new one.
constexpr duration joining_delay{member_interval_ms + 5000};
/// Time within which daemons that start together register.
constexpr duration second_listing_delay{3000};
/// Interval of checks whether a read of that list is due, and thus also the
/// delay after a failed read.
constexpr std::int64_t member_poll_ms = 600;
constexpr std::int64_t retry_delay_ms = 700;
/// Time over which daemons check their rows after a restore of the store, for
/// each daemon.
constexpr duration registration_spread_per_daemon{5};
/// Maximum number of neighbours that a starting daemon asks for a snapshot.
constexpr std::size_t max_neighbours_asked = 2;

/// Returns nothing for a value that is no port.
std::optional<std::uint16_t> parse_port(const json::value* value)
{
    if (value == nullptr)
        return std::nullopt;
    boost::system::error_code error;
    const auto port = value->to_number<std::uint16_t>(error);
    if (error || port == 0)
        return std::nullopt;
    return port;
}

/// Returns 0 for a value that is no era.
std::uint64_t parse_era(const json::value* value)
{
    if (value == nullptr)
        return 0;
    boost::system::error_code error;
    const auto era = value->to_number<std::uint64_t>(error);
    return error ? 0 : era;
}

} // namespace

/// Writes this daemon's row and replaces the row of an earlier process.
asio::awaitable<void> peer_updates::register_self()
{
    json::object value;
    value["address"] = context_.settings.address;
    value["port"] = context_.settings.peer_port;
    value["failure_domain"] = context_.settings.failure_domain;
    value["link_mbps"] = context_.settings.link_mbps;
    recorded_era_ = context_.complete_store_era();
    if (recorded_era_ > 0)
        value["store_era"] = recorded_era_;
    const auto text = json::serialize(value);
    const auto key = context_.self.value();
    while (own_row_.value != text) {
        context_.measures.count_store_call(store_purpose::members, "register");
        const auto written = co_await context_.platform.store->write_row(
            member_table, key, text, own_row_.version);
        if (written.end == store_write_outcome::done)
            co_return;
        if (written.end != store_write_outcome::conflict)
            co_await sleep_for_ms(retry_delay_ms);
        co_await read_members();
    }
}

/// Schedules a check of this daemon's row, at a random time.
void peer_updates::schedule_registration()
{
    std::uniform_int_distribution<std::int64_t> spread(
        0,
        registration_spread_per_daemon.count() *
            static_cast<std::int64_t>(context_.daemons()));
    registration_due_at_ = steady_now() + duration(spread(context_.random));
}

void peer_updates::on_store_restored()
{
    schedule_registration();
    refusals_.on_store_restored();
    suspicions_.on_store_restored();
    process_refusals(steady_now());
}

/// Writes this daemon's row if the restored store lacks it, or if the row does
/// not say yet that the store is complete again.
asio::awaitable<void> peer_updates::register_again()
{
    registration_due_at_.reset();
    context_.measures.count_store_call(store_purpose::members, "read_own");
    const auto read = co_await context_.platform.store->read_row(
        member_table, context_.self.value());
    if (read.error) {
        registration_due_at_ = steady_now() + duration(retry_delay_ms);
        co_return;
    }
    own_row_ = read.rows.empty() ? store_row() : read.rows.front();
    co_await register_self();
}

asio::awaitable<bool> peer_updates::read_members()
{
    context_.measures.count_store_call(store_purpose::members, "read");
    const auto read =
        co_await context_.platform.store->read_table(member_table);
    if (!read.error)
        apply_members(read);
    co_return !read.error;
}

asio::awaitable<void> peer_updates::follow_members()
{
    // A daemon that restarts finds its neighbours and itself listed; one that
    // does not know that yet would count as new for long, and mint no tokens.
    while (!co_await read_members())
        co_await sleep_for_ms(retry_delay_ms);
    request_neighbour_snapshots();
    const bool listed_before = own_row_.version.is_known();
    co_await register_self();
    const bool is_new = !listed_before && !context_.settings.first_start;
    counted_from_ = steady_now() + (is_new ? joining_delay : duration{0});
    if (!listed_before)
        second_listing_at_ = steady_now() + second_listing_delay;
    // Daemons that start together for the first time are all listed only after
    // a while, so the list is read again soon.
    auto read_at =
        steady_now() - duration(listed_before ? 0 : member_interval_ms);
    for (;;) {
        co_await sleep_for_ms(member_poll_ms);
        if (!registration_due_at_ &&
            context_.complete_store_era() != recorded_era_)
            schedule_registration();
        if (registration_due_at_ && steady_now() >= *registration_due_at_)
            co_await register_again();
        // A holder must know all daemons, also when it has just taken the
        // lease.
        const duration interval(is_lease_holder_ ? holder_interval_ms
                                                 : member_interval_ms);
        update_limit_sharers();
        const bool is_second = second_listing_at_ &&
                               steady_now() >= *second_listing_at_ &&
                               context_.quotas.is_active();
        if (steady_now() < read_at + interval && !is_second)
            continue;
        if (!co_await read_members())
            continue;
        read_at = steady_now();
        if (is_second)
            second_listing_at_.reset();
    }
}

void peer_updates::apply_members(const store_read& read)
{
    own_row_ = store_row();
    for (const auto& row : read.rows) {
        if (row.key == context_.self.value())
            own_row_ = row;
        apply_member(row);
    }
    // This daemon may not be listed yet.
    const std::size_t unlisted = members_.contains(context_.self) ? 0 : 1;
    context_.set_daemon_count(members_.size() + unlisted);
    has_read_members_ = true;
    update_limit_sharers();
    update_reader_rank();
}

/// Sets which daemons share the limits that servers name. This one is among
/// them once it knows the others and they know it.
void peer_updates::update_limit_sharers()
{
    std::vector<instance_id> listed;
    for (const auto& [id, entry] : members_)
        listed.push_back(id);
    context_.limits.set_daemons(std::move(listed), is_counted());
    update_quota_sharers();
}

bool peer_updates::is_counted() const
{
    return has_read_members_ && counted_from_ && steady_now() >= *counted_from_;
}

/// Sets which daemons mint and pool the tokens of quotas. Links are compared
/// with the precision of messages, so that all daemons order them alike.
/// Daemons known by their messages count too: the list may be out of reach.
void peer_updates::update_quota_sharers()
{
    if (!context_.quotas.is_active())
        return;
    std::vector<pool_candidate> candidates;
    for (const auto& [id, entry] : members_)
        if (id != context_.self)
            candidates.push_back({id, static_cast<float>(entry.link_mbps)});
    candidates.push_back(
        {context_.self, static_cast<float>(context_.settings.link_mbps)});
    context_.quotas.set_daemons(std::move(candidates),
                                is_counted() && !second_listing_at_);
}

void peer_updates::apply_member(const store_row& row)
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
    const auto peer_port = parse_port(port);
    if (address == nullptr || !address->is_string() || !peer_port ||
        domain == nullptr || !domain->is_string())
    {
        log_event(log_level::warn, "member_row_unreadable")
            .with("instance", row.key);
        return;
    }
    const auto era = parse_era(value.as_object().if_contains("store_era"));
    if (era > 0 && context_.on_store_recorded_complete(era))
        watch_.on_store_complete();
    auto& entry = members_[id];
    entry.address = {std::string(address->as_string()), *peer_port};
    entry.failure_domain = failure_domain_id(std::string(domain->as_string()));
    if (link != nullptr && link->is_number())
        entry.link_mbps = link->to_number<double>();
}

/// Counts the neighbours that are better placed to read the store.
void peer_updates::update_reader_rank()
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

holder_rank peer_updates::rank_as_holder() const
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

/// Requests snapshots from some neighbours when this daemon starts, so that
/// data known in its failure domain need not be read from the store again.
void peer_updates::request_neighbour_snapshots()
{
    request_snapshots_from_some(neighbours(), max_neighbours_asked);
}

asio::awaitable<void> peer_updates::report_to_neighbours()
{
    for (;;) {
        send_following();
        co_await sleep_for_ms(reader_announcement_interval.count());
    }
}

void peer_updates::send_following()
{
    const bool is_following = watch_.is_following_store();
    if (is_following || announced_following_) {
        auto message = make_message(schema::message_kind::following);
        message.follows = is_following;
        if (!is_lease_holder_)
            add_list_changes(message);
        link_.broadcast(neighbours(), message);
    }
    announced_following_ = is_following;
}

void peer_updates::relay_configuration()
{
    if (!watch_.is_following_store())
        return;
    const auto& bytes = watch_.configuration_bytes();
    auto message = make_message(schema::message_kind::snapshot);
    message.body.assign(bytes.begin(), bytes.end());
    link_.broadcast(neighbours(), message);
}

/// Processes a neighbour's report whether it follows the store. A reader with
/// newer data is asked for a snapshot.
void peer_updates::on_following(const schema::peer_message_record& message,
                                const member& sender)
{
    watch_.readers().on_reader_announcement(
        {message.link_mbps, instance_id(message.sender->instance)},
        message.follows,
        steady_now());
    if (!message.follows)
        return;
    watch_.apply_relayed_rows(extract_rows(message),
                              extract_list_claim(message, steady_now()));
    const bool newer =
        message.configuration_version > watch_.configuration_version();
    const bool list =
        !watch_.list_position().is_known() && message.list_position > 0;
    if (newer || list)
        request_snapshot(sender.address);
}

/// Requests missed changes from the reader of the failure domain.
void peer_updates::request_missed_changes()
{
    const auto reader = watch_.readers().best_reader(steady_now());
    const auto found = reader ? members_.find(*reader) : members_.end();
    if (found != members_.end())
        request_snapshot(found->second.address);
}

/// Requests a newer configuration from the sender of a message. Neighbours get
/// it from their reader. A reader whose call to the store hangs, and the
/// holder, whose updates the readers receive, request it from any daemon that
/// has it.
void peer_updates::request_newer_configuration(
    const schema::peer_message_record& message)
{
    const bool behind = catchup_.on_peer_state(message.configuration_version,
                                               watch_.configuration_version(),
                                               steady_now());
    const bool asks = is_lease_holder_ || watch_.readers().is_reader();
    if (behind && asks)
        request_snapshot({message.address, message.port});
}

/// Processes the sender's knowledge of which configuration is the newest. It
/// confirms the version known here if that is the same one.
void peer_updates::confirm_configuration(
    const schema::peer_message_record& message)
{
    const auto known = watch_.configuration_version();
    if (known == 0 || message.configuration_version != known)
        return;
    watch_.confirm_configuration(extract_configuration_position(message),
                                 steady_now() -
                                     duration(message.configuration_age_ms));
    // The stated age lacks the time that the message took, so that only the
    // store's clock, which both daemons know, confirms for keys.
    const bool has_reading = message.configuration_confirmed_ms > 0 &&
                             message.store_era == context_.era().current();
    const auto confirmed_at =
        has_reading ? context_.clock_of_store.bounds().time_before(
                          message.configuration_confirmed_ms)
                    : std::nullopt;
    if (confirmed_at)
        watch_.confirm_keys(*confirmed_at);
}

/// Sends the data that the requesting daemon does not have yet, or only what
/// this one confirms, if nothing has confirmed the configuration to the other.
void peer_updates::send_snapshot(const schema::peer_message_record& request)
{
    const bool newer =
        request.configuration_version < watch_.configuration_version();
    std::optional<std::vector<store_row>> rows;
    auto since = extract_list_position(request);
    if (since.era() < watch_.list_position().era())
        since = store_version();
    if (since < watch_.list_position())
        rows = watch_.rows_after(since);
    const bool confirms = request.configuration_confirmed_ms == 0;
    if (!newer && !rows && !confirms)
        return;
    auto message = make_message(schema::message_kind::snapshot);
    const auto& bytes = watch_.configuration_bytes();
    if (newer)
        message.body.assign(bytes.begin(), bytes.end());
    if (rows) {
        message.list_since = since.number();
        message.list_since_era = since.era();
        for (const auto& row : *rows)
            message.rows.push_back(to_record(row));
    }
    link_.send({request.address, request.port}, message, false);
}

void peer_updates::apply_snapshot(const schema::peer_message_record& message)
{
    if (!message.body.empty())
        watch_.apply_configuration(
            std::string_view(reinterpret_cast<const char*>(message.body.data()),
                             message.body.size()),
            message.sender->instance);
    confirm_configuration(message);
    if (message.list_since > 0 || !message.rows.empty())
        watch_.apply_neighbour_list(extract_rows(message),
                                    extract_list_claim(message, steady_now()));
}

void peer_updates::request_snapshot(const peer_address& from)
{
    link_.send(
        from, make_message(schema::message_kind::snapshot_request), false);
}

/// Requests the newest configuration from up to `count` random peers.
void peer_updates::request_snapshots_from_random_peers(std::size_t count)
{
    std::vector<peer_address> others;
    for (const auto& [id, entry] : members_)
        if (id != context_.self)
            others.push_back(entry.address);
    request_snapshots_from_some(others, count);
}

void peer_updates::request_snapshots_from_some(
    const std::vector<peer_address>& peers, std::size_t count)
{
    std::vector<peer_address> asked;
    std::sample(peers.begin(),
                peers.end(),
                std::back_inserter(asked),
                count,
                context_.random);
    for (const auto& peer : asked)
        request_snapshot(peer);
}

} // namespace barleyfork
