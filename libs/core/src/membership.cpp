#include <barleyfork/core/membership.hpp>

#include <algorithm>
#include <bit>
#include <pcg_random.hpp>
#include <utility>

namespace barleyfork {

namespace {

using schema::member_state;
using schema::message_kind;

/// Maximum number of quarantine entries on one message.
constexpr std::size_t max_quarantine_entries = 8;

} // namespace

membership::membership(listed_instance self,
                       std::uint64_t incarnation,
                       membership_options options,
                       std::uint64_t seed)
    : self_(std::move(self)), incarnation_(incarnation), options_(options),
      random_state_(seed)
{
}

std::vector<instance_id>
membership::set_listed(std::span<const listed_instance> list)
{
    std::map<instance_id, const listed_instance*> listed;
    for (const auto& entry : list)
        if (entry.id != self_.id)
            listed.emplace(entry.id, &entry);
    std::vector<instance_id> gone;
    for (const auto& [id, view] : members_)
        if (!listed.contains(id))
            gone.push_back(id);
    for (const auto& id : gone) {
        members_.erase(id);
        suspected_since_.erase(id);
        probes_.erase(id);
        pending_updates_.erase(id);
    }
    for (const auto& [id, entry] : listed) {
        auto& view = members_[id];
        view.place = *entry;
        if (entry->leaving && view.state != member_state::gone)
            view.state = member_state::leaving;
    }
    return gone;
}

void membership::set_configuration(
    const schema::configuration_digest_record& digest)
{
    configuration_ = digest;
}

void membership::add_quarantine(const crash_blame& blame)
{
    quarantine_.try_emplace(blame, 0);
}

void membership::announce_shutdown()
{
    leaving_ = true;
    ++incarnation_;
}

std::vector<outgoing_message> membership::tick(time_point now)
{
    std::vector<outgoing_message> out;
    check_probes(now, out);
    check_suspects(now);
    if (now >= next_round_) {
        next_round_ = now + options_.probe_interval;
        start_probes(now, out);
    }
    return out;
}

std::vector<outgoing_message> membership::push()
{
    std::vector<outgoing_message> out;
    for (const auto& id : pick_peers(options_.push_fan_out))
        out.push_back({id, compose(message_kind::push)});
    return out;
}

void membership::check_probes(time_point now,
                              std::vector<outgoing_message>& out)
{
    std::vector<instance_id> unresponsive;
    for (auto& [id, probe] : probes_) {
        if (now < probe.deadline)
            continue;
        if (probe.is_retried) {
            unresponsive.push_back(id);
            continue;
        }
        probe.is_retried = true;
        probe.deadline = now + options_.probe_timeout;
        auto message = compose(message_kind::probe);
        message.sequence = probe.sequence;
        out.push_back({id, std::move(message), true});
    }
    for (const auto& id : unresponsive) {
        probes_.erase(id);
        const auto found = members_.find(id);
        if (found == members_.end())
            continue;
        const auto state = found->second.state;
        if (state == member_state::alive || state == member_state::leaving)
            change_state(
                id, member_state::suspect, found->second.incarnation, now);
    }
}

void membership::check_suspects(time_point now)
{
    std::vector<instance_id> overdue;
    for (const auto& [id, since] : suspected_since_)
        if (now >= since + options_.suspicion)
            overdue.push_back(id);
    for (const auto& id : overdue)
        change_state(id, member_state::gone, members_.at(id).incarnation, now);
}

/// Visits all peers in a shuffled order, so that each is probed within a
/// bounded time.
void membership::start_probes(time_point now,
                              std::vector<outgoing_message>& out)
{
    std::uint32_t started = 0;
    while (started < options_.probes_per_interval) {
        if (probe_order_.empty()) {
            for (const auto& [id, view] : members_)
                probe_order_.push_back(id);
            pcg32 random(random_state_++);
            std::shuffle(probe_order_.begin(), probe_order_.end(), random);
            if (probe_order_.empty())
                return;
        }
        const auto id = probe_order_.back();
        probe_order_.pop_back();
        ++started;
        if (!members_.contains(id) || probes_.contains(id))
            continue;
        auto message = compose(message_kind::probe);
        message.sequence = next_sequence_++;
        probes_[id] = {message.sequence, now + options_.probe_timeout, false};
        out.push_back({id, std::move(message)});
    }
}

schema::peer_message_record membership::compose(message_kind kind)
{
    schema::peer_message_record message;
    message.kind = kind;
    message.sender = std::make_unique<schema::member_record>();
    message.sender->instance = self_.id.value();
    message.sender->incarnation = incarnation_;
    message.sender->state =
        leaving_ ? member_state::leaving : member_state::alive;
    message.configuration =
        std::make_unique<schema::configuration_digest_record>(configuration_);
    attach_members(message);
    attach_quarantine(message);
    return message;
}

/// Attaches the member updates that were forwarded least often.
void membership::attach_members(schema::peer_message_record& message)
{
    std::vector<std::pair<std::uint32_t, instance_id>> order;
    for (const auto& [id, entry] : pending_updates_)
        order.emplace_back(entry.transmissions, id);
    std::sort(order.begin(), order.end());
    if (order.size() > options_.max_members_per_message)
        order.resize(options_.max_members_per_message);
    for (const auto& [transmissions, id] : order) {
        const auto& view = members_.at(id);
        auto record = std::make_unique<schema::member_record>();
        record->instance = id.value();
        record->incarnation = view.incarnation;
        record->state = view.state;
        message.members.push_back(std::move(record));
        if (++pending_updates_[id].transmissions >= max_transmissions())
            pending_updates_.erase(id);
    }
}

void membership::attach_quarantine(schema::peer_message_record& message)
{
    for (auto& [blame, transmissions] : quarantine_) {
        if (message.quarantine.size() >= max_quarantine_entries)
            return;
        if (transmissions >= max_transmissions())
            continue;
        ++transmissions;
        auto record = std::make_unique<schema::quarantine_entry_record>();
        record->fingerprint = blame.fingerprint;
        record->crash = blame.crash;
        message.quarantine.push_back(std::move(record));
    }
}

std::optional<outgoing_message>
membership::receive(const schema::peer_message_record& message, time_point now)
{
    if (!message.sender)
        return std::nullopt;
    const instance_id from(message.sender->instance);
    merge_member(*message.sender, true, now);
    for (const auto& record : message.members)
        if (record)
            merge_member(*record, false, now);
    for (const auto& record : message.quarantine)
        if (record)
            add_quarantine({record->fingerprint, record->crash});
    if (message.kind == message_kind::acknowledgement) {
        const auto probe = probes_.find(from);
        if (probe != probes_.end() &&
            probe->second.sequence == message.sequence)
            probes_.erase(probe);
        return std::nullopt;
    }
    if (message.kind != message_kind::probe)
        return std::nullopt;
    auto answer = compose(message_kind::acknowledgement);
    answer.sequence = message.sequence;
    return outgoing_message{from, std::move(answer)};
}

void membership::merge_member(const schema::member_record& record,
                              bool is_from_subject,
                              time_point now)
{
    const instance_id id(record.instance);
    if (id == self_.id) {
        const bool is_wrong = record.state == member_state::suspect ||
                              record.state == member_state::gone;
        if (is_wrong && record.incarnation >= incarnation_)
            incarnation_ = record.incarnation + 1;
        return;
    }
    const auto found = members_.find(id);
    if (found == members_.end())
        return;
    const auto& view = found->second;
    if (is_from_subject) {
        // A message from the subject itself proves that the subject is alive.
        if (record.incarnation >= view.incarnation &&
            record.state != view.state)
            change_state(id, record.state, record.incarnation, now);
        found->second.incarnation =
            std::max(found->second.incarnation, record.incarnation);
        return;
    }
    const bool is_newer = record.incarnation > view.incarnation;
    const bool is_worse =
        record.incarnation == view.incarnation && record.state > view.state;
    if (is_newer || is_worse)
        change_state(id, record.state, record.incarnation, now);
}

void membership::change_state(const instance_id& id,
                              member_state state,
                              std::uint64_t incarnation,
                              time_point now)
{
    auto& view = members_.at(id);
    view.state = state;
    view.incarnation = incarnation;
    if (state == member_state::suspect)
        suspected_since_[id] = now;
    else
        suspected_since_.erase(id);
    pending_updates_[id] = {};
}

std::vector<const member_view*> membership::members() const
{
    std::vector<const member_view*> result;
    for (const auto& [id, view] : members_)
        if (view.state != member_state::gone)
            result.push_back(&view);
    return result;
}

std::vector<const member_view*> membership::listed() const
{
    std::vector<const member_view*> result;
    for (const auto& [id, view] : members_)
        result.push_back(&view);
    return result;
}

std::size_t membership::live_count() const noexcept
{
    return 1 + static_cast<std::size_t>(std::count_if(
                   members_.begin(), members_.end(), [](const auto& entry) {
                       return entry.second.state == member_state::alive;
                   }));
}

const member_view* membership::find(const instance_id& id) const
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

std::vector<instance_id> membership::pick_peers(std::uint32_t count)
{
    std::vector<instance_id> pool;
    for (const auto& [id, view] : members_)
        if (view.state != member_state::gone)
            pool.push_back(id);
    pcg32 random(random_state_++);
    const auto picked = std::min<std::size_t>(count, pool.size());
    for (std::size_t i = 0; i < picked; ++i) {
        const auto remaining = static_cast<std::uint32_t>(pool.size() - i);
        std::swap(pool[i], pool[i + random(remaining)]);
    }
    pool.resize(picked);
    return pool;
}

std::uint32_t membership::max_transmissions() const
{
    const auto log2 = std::bit_width(members_.size() + 1);
    return options_.transmit_factor * static_cast<std::uint32_t>(log2);
}

} // namespace barleyfork
