#include "gossip_trial.hpp"

#include <barleyfork/core/configuration_digest.hpp>
#include <barleyfork/core/membership.hpp>
#include <barleyfork/net/frame.hpp>

#include <algorithm>
#include <ctime>
#include <malloc.h>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <vector>

namespace barleyfork {

namespace {

constexpr std::int64_t step_ms = 50;
constexpr double milliseconds_per_second = 1000.0;
constexpr double bytes_per_kib = 1024.0;
constexpr std::uint32_t loss_scale = 10000;
constexpr std::size_t domains = 15;
constexpr const char* secret = "secret";

double cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

struct node
{
    std::unique_ptr<membership> members;
    configuration_state configuration;
    std::vector<std::string> inbox;
};

class gossip_world
{
public:
    explicit gossip_world(const gossip_options& options)
        : options_(options), random_(options.seed), nodes_(options.nodes)
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            list_.push_back(place_of(i));
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            start(i);
    }

    gossip_result run()
    {
        gossip_result result;
        const double heap = heap_bytes();
        const double cpu = cpu_seconds();
        const auto end = options_.seconds *
                         static_cast<std::int64_t>(milliseconds_per_second);
        double next_change = options_.change_interval / 2.0;
        double next_replace = options_.replace_interval / 2.0;
        for (now_ = 0; now_ < end; now_ += step_ms) {
            const double second =
                static_cast<double>(now_) / milliseconds_per_second;
            if (second >= next_change) {
                next_change += options_.change_interval;
                change();
            }
            if (second >= next_replace) {
                next_replace += options_.replace_interval;
                replace();
            }
            step();
            note_spread(result);
        }
        const auto size = static_cast<double>(nodes_.size());
        const auto seconds = static_cast<double>(options_.seconds);
        // Each byte is sent by one node and received by another.
        result.bytes_per_second = 2.0 * bytes_ / size / seconds;
        result.messages_per_second = 2.0 * messages_ / size / seconds;
        result.core_share = (cpu_seconds() - cpu) / size / seconds;
        result.heap_kib = heap / size / bytes_per_kib;
        return result;
    }

private:
    listed_instance place_of(std::size_t i)
    {
        listed_instance place;
        place.id = instance_id("entry-" + std::to_string(i) + "-" +
                               std::to_string(++starts_));
        place.address = "127.0.0.1";
        place.port = 7000;
        place.region = region_id("region-" + std::to_string(i % 4));
        place.failure_domain =
            failure_domain_id("domain-" + std::to_string(i % domains));
        return place;
    }

    void start(std::size_t i)
    {
        nodes_[i].members = std::make_unique<membership>(
            list_[i], 1, membership_options{}, random_());
        nodes_[i].members->set_listed(list_);
        nodes_[i].configuration = {};
        nodes_[i].inbox.clear();
        index_[list_[i].id] = i;
    }

    /// One instance is gone and another takes its place; the list says so.
    void replace()
    {
        const auto i = random_(static_cast<std::uint32_t>(nodes_.size()));
        index_.erase(list_[i].id);
        list_[i] = place_of(i);
        start(i);
        for (auto& each : nodes_)
            each.members->set_listed(list_);
    }

    /// A coordinator stages the next number, as after its table write.
    void change()
    {
        ++head_.decided;
        head_.revision = head_.decided;
        head_.digest = std::string(64, 'a') + std::to_string(head_.decided);
        head_.coordinator = list_[0].id.value();
        changed_at_ = now_;
        spreading_ = true;
        learn(nodes_[random_(static_cast<std::uint32_t>(nodes_.size()))],
              head_);
    }

    void learn(node& who, const configuration_head& head)
    {
        const time_point now{duration(now_)};
        if (!who.configuration.learn(head, now))
            return;
        who.members->set_configuration(to_digest(who.configuration.known()));
        for (auto& out : who.members->push())
            send(out);
    }

    void send(const outgoing_message& out)
    {
        auto frame = encode_frame(out.message, secret);
        bytes_ += static_cast<double>(frame.size());
        messages_ += 1.0;
        const auto found = index_.find(out.to);
        const bool lost = random_(loss_scale) < options_.loss * loss_scale;
        if (found != index_.end() && !lost)
            next_.emplace_back(found->second, std::move(frame));
    }

    void step()
    {
        for (auto& [target, frame] : next_)
            nodes_[target].inbox.push_back(std::move(frame));
        next_.clear();
        const time_point now{duration(now_)};
        for (auto& each : nodes_) {
            for (auto& out : each.members->tick(now))
                send(out);
            for (const auto& frame : std::exchange(each.inbox, {}))
                receive(each, frame, now);
        }
    }

    void receive(node& who, std::string_view frame, time_point now)
    {
        schema::peer_message_record message;
        const auto header = frame.substr(0, frame_header_bytes);
        if (decode_frame(
                header, frame.substr(frame_header_bytes), secret, message))
            return;
        if (auto answer = who.members->receive(message, now))
            send(*answer);
        if (message.configuration)
            learn(who, to_head(*message.configuration));
    }

    void note_spread(gossip_result& result)
    {
        if (!spreading_)
            return;
        const bool everywhere =
            std::all_of(nodes_.begin(), nodes_.end(), [this](auto& each) {
                return each.configuration.known().decided == head_.decided;
            });
        if (!everywhere)
            return;
        spreading_ = false;
        result.slowest_spread_ms =
            std::max(result.slowest_spread_ms, now_ - changed_at_);
    }

    gossip_options options_;
    pcg32 random_;
    std::vector<node> nodes_;
    std::vector<listed_instance> list_;
    std::map<instance_id, std::size_t> index_;
    std::vector<std::pair<std::size_t, std::string>> next_;
    configuration_head head_;
    std::size_t starts_ = 0;
    std::int64_t now_ = 0;
    std::int64_t changed_at_ = 0;
    bool spreading_ = false;
    double bytes_ = 0.0;
    double messages_ = 0.0;
};

} // namespace

gossip_result run_gossip(const gossip_options& options)
{
    const double before = heap_bytes();
    gossip_world world(options);
    auto result = world.run();
    result.heap_kib -=
        before / static_cast<double>(options.nodes) / bytes_per_kib;
    return result;
}

} // namespace barleyfork
