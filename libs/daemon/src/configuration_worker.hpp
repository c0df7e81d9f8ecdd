#ifndef BARLEYFORK_DAEMON_SRC_CONFIGURATION_WORKER_HPP
#define BARLEYFORK_DAEMON_SRC_CONFIGURATION_WORKER_HPP

#include "daemon_context.hpp"
#include "table_worker.hpp"

#include <barleyfork/core/configuration_state.hpp>
#include <barleyfork/core/membership.hpp>
#include <barleyfork/schema/peer_generated.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace barleyfork {

/// The revisions that an instance has confirmed, their bodies fetched.
struct confirmed_revision
{
    std::uint64_t staged = 0;
    std::uint64_t in_force = 0;
};

/// Brings every revision into force on this daemon and confirms it to the
/// revision's coordinator. Not thread-safe: runs on the control worker.
class configuration_worker
{
public:
    using sender =
        std::function<void(const instance_id&, schema::peer_message_record)>;

    configuration_worker(daemon_context& context,
                         table_worker& table,
                         membership& members,
                         sender send);

    /// Merges a head received from the table or a peer.
    void learn(const configuration_head& head, time_point now);

    /// Processes the configuration part of a peer's message.
    void on_message(const schema::peer_message_record& message, time_point now);

    /// Fetches missing bodies and repeats confirmations.
    void tick(time_point now);

    /// Returns true where the coordinator has left a staged revision undecided
    /// for too long, so that any daemon may abandon it.
    bool is_stage_overdue(time_point now) const;

    const configuration_state& state() const noexcept
    {
        return state_;
    }

    /// Returns the revisions that each instance confirmed, this one included.
    const std::map<instance_id, confirmed_revision>&
    confirmations() const noexcept
    {
        return confirmations_;
    }

    /// Returns the bytes of a body that this daemon has stored, or an empty
    /// string.
    std::string body_bytes(const std::string& digest) const;

    /// Returns true where state that the serving view depends on has changed
    /// since the last call, and clears the flag.
    bool take_changed() noexcept
    {
        return std::exchange(changed_, false);
    }

private:
    void fetch_bodies(time_point now);
    boost::asio::awaitable<void> fetch_body(std::string digest);
    boost::asio::awaitable<std::string> fetch_delta(std::string digest);
    void accept_body(const std::string& digest, const std::string& bytes);
    void confirm();
    void record_own_state();
    schema::configuration_digest_record own_digest() const;

    daemon_context& context_;
    table_worker& table_;
    membership& members_;
    sender send_;
    configuration_state state_;
    std::map<std::string, std::string> bodies_;
    std::set<std::string> fetching_;
    std::map<instance_id, confirmed_revision> confirmations_;
    std::string last_coordinator_;
    time_point confirm_until_{};
    time_point next_confirm_{};
    time_point next_fetch_{};
    bool changed_ = false;
};

} // namespace barleyfork

#endif
