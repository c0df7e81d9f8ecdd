#include <barleyfork/core/membership.hpp>

#include <algorithm>
#include <bit>
#include <pcg_random.hpp>
#include <utility>

namespace barleyfork {

namespace {

using schema::member_state;
using schema::message_kind;

/// Quarantine entries on one message.
constexpr std::size_t quarantine_limit = 8;

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
        news_.erase(id);
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

void membership::set_leaving()
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
    std::vector<instance_id> silent;
    for (auto& [id, probe] : probes_) {
        if (now < probe.deadline)
            continue;
        if (probe.repeated) {
            silent.push_back(id);
            continue;
        }
        probe.repeated = true;
        probe.deadline = now + options_.probe_timeout;
        auto message = compose(message_kind::probe);
        message.sequence = probe.sequence;
        out.push_back({id, std::move(message), true});
    }
    for (const auto& id : silent) {
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

/// Goes through all peers in a shuffled order, so that each is probed within
/// a bounded time.
void membership::start_probes(time_point now,
                              std::vector<outgoing_message>& out)
{
    std::uint32_t started = 0;
    while (started < options_.probes) {
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

/// Attaches the news that was passed on least often.
void membership::attach_members(schema::peer_message_record& message)
{
    std::vector<std::pair<std::uint32_t, instance_id>> order;
    for (const auto& [id, entry] : news_)
        order.emplace_back(entry.transmissions, id);
    std::sort(order.begin(), order.end());
    if (order.size() > options_.news_limit)
        order.resize(options_.news_limit);
    for (const auto& [transmissions, id] : order) {
        const auto& view = members_.at(id);
        auto said = std::make_unique<schema::member_record>();
        said->instance = id.value();
        said->incarnation = view.incarnation;
        said->state = view.state;
        message.members.push_back(std::move(said));
        if (++news_[id].transmissions >= transmit_limit())
            news_.erase(id);
    }
}

void membership::attach_quarantine(schema::peer_message_record& message)
{
    for (auto& [blame, transmissions] : quarantine_) {
        if (message.quarantine.size() >= quarantine_limit)
            return;
        if (transmissions >= transmit_limit())
            continue;
        ++transmissions;
        auto said = std::make_unique<schema::quarantine_entry_record>();
        said->fingerprint = blame.fingerprint;
        said->crash = blame.crash;
        message.quarantine.push_back(std::move(said));
    }
}

std::optional<outgoing_message>
membership::receive(const schema::peer_message_record& message, time_point now)
{
    if (!message.sender)
        return std::nullopt;
    const instance_id from(message.sender->instance);
    merge_member(*message.sender, true, now);
    for (const auto& said : message.members)
        if (said)
            merge_member(*said, false, now);
    for (const auto& said : message.quarantine)
        if (said)
            add_quarantine({said->fingerprint, said->crash});
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

void membership::merge_member(const schema::member_record& said,
                              bool by_itself,
                              time_point now)
{
    const instance_id id(said.instance);
    if (id == self_.id) {
        const bool wrong = said.state == member_state::suspect ||
                           said.state == member_state::gone;
        if (wrong && said.incarnation >= incarnation_)
            incarnation_ = said.incarnation + 1;
        return;
    }
    const auto found = members_.find(id);
    if (found == members_.end())
        return;
    const auto& view = found->second;
    if (by_itself) {
        // A message of its own proves that it is there.
        if (said.incarnation >= view.incarnation && said.state != view.state)
            change_state(id, said.state, said.incarnation, now);
        found->second.incarnation =
            std::max(found->second.incarnation, said.incarnation);
        return;
    }
    const bool newer = said.incarnation > view.incarnation;
    const bool worse =
        said.incarnation == view.incarnation && said.state > view.state;
    if (newer || worse)
        change_state(id, said.state, said.incarnation, now);
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
    news_[id] = {};
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
    const auto wanted = std::min<std::size_t>(count, pool.size());
    for (std::size_t i = 0; i < wanted; ++i) {
        const auto left = static_cast<std::uint32_t>(pool.size() - i);
        std::swap(pool[i], pool[i + random(left)]);
    }
    pool.resize(wanted);
    return pool;
}

std::uint32_t membership::transmit_limit() const
{
    const auto log2 = std::bit_width(members_.size() + 1);
    return options_.transmit_factor * static_cast<std::uint32_t>(log2);
}

} // namespace barleyfork
