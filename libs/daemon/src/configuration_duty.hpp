#ifndef BARLEYFORK_DAEMON_SRC_CONFIGURATION_DUTY_HPP
#define BARLEYFORK_DAEMON_SRC_CONFIGURATION_DUTY_HPP

#include "daemon_context.hpp"
#include "table_duty.hpp"

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

/// What an instance has confirmed to hold, body included.
struct confirmed_revision
{
    std::uint64_t staged = 0;
    std::uint64_t in_force = 0;
};

/// Brings every revision into force here and tells its coordinator so.
/// Lives on the control duty.
class configuration_duty
{
public:
    using sender =
        std::function<void(const instance_id&, schema::peer_message_record)>;

    configuration_duty(daemon_context& context,
                       table_duty& table,
                       membership& members,
                       sender send);

    /// Takes in a head from the table or a peer.
    void learn(const configuration_head& head, time_point now);

    /// Takes in the configuration part of a peer's message.
    void on_message(const schema::peer_message_record& message, time_point now);

    /// Fetches missing bodies, repeats confirmations, passes on news.
    void tick(time_point now);

    /// Ends a staged number that its coordinator left undecided.
    bool overdue(time_point now) const;

    const configuration_state& state() const noexcept
    {
        return state_;
    }

    /// What each instance confirmed, this one included.
    const std::map<instance_id, confirmed_revision>&
    confirmations() const noexcept
    {
        return confirmations_;
    }

    /// The bytes of a body that is held here, or empty.
    std::string body_bytes(const std::string& digest) const;

    /// True where something that the serving view depends on changed since
    /// the last call.
    bool take_changed() noexcept
    {
        return std::exchange(changed_, false);
    }

private:
    void fetch_bodies(time_point now);
    boost::asio::awaitable<void> fetch_body(std::string digest);
    boost::asio::awaitable<std::string> fetch_change(std::string digest);
    void take_body(const std::string& digest, const std::string& bytes);
    void confirm();
    void note_own_state();
    schema::configuration_digest_record held_digest() const;

    daemon_context& context_;
    table_duty& table_;
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
