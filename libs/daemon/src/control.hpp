#ifndef BARLEYFORK_DAEMON_SRC_CONTROL_HPP
#define BARLEYFORK_DAEMON_SRC_CONTROL_HPP

#include "backend_client.hpp"
#include "caller_front.hpp"
#include "configuration_worker.hpp"
#include "daemon_context.hpp"
#include "placement_worker.hpp"
#include "server_reports.hpp"
#include "serving_view.hpp"
#include "table_worker.hpp"
#include "view_builder.hpp"

#include <barleyfork/core/membership.hpp>
#include <barleyfork/net/peer_link.hpp>

#include <memory>
#include <set>
#include <string>

namespace barleyfork {

/// Makes the daemon's decisions: combines the instance list, peer updates,
/// table rows and reports, and publishes the serving view. Runs on the control
/// worker; the other workers post tasks to it.
class control
{
public:
    control(daemon_context& context,
            table_worker& table,
            backend_client& backends,
            caller_front& callers,
            std::uint16_t peer_port);

    /// Sets the link to the peers. Must be called before the loops start.
    void set_link(peer_link& link) noexcept
    {
        link_ = &link;
    }

    /// Endless loops, to be spawned on the control worker.
    boost::asio::awaitable<void> run_ticks();
    boost::asio::awaitable<void> poll_table();
    boost::asio::awaitable<void> poll_instances();
    boost::asio::awaitable<void> poll_reports();

    /// Processes a peer's message.
    void on_message(const schema::peer_message_record& message);

    /// Records and announces that a crash was attributed to a request on this
    /// daemon.
    void on_crash_attributed(const crash_blame& blame);

    /// Merges a head that this daemon wrote, before the next poll of the table
    /// returns it.
    void apply_head(const configuration_head& head);

    /// Announces the shutdown to the peers and releases the leases.
    boost::asio::awaitable<void> shut_down();

    /// State for the operator interface.
    const configuration_worker& configuration() const noexcept
    {
        return configuration_;
    }
    const placement_worker& placement() const noexcept
    {
        return placement_;
    }
    const membership& members() const noexcept
    {
        return members_;
    }
    const server_reports& reports() const noexcept
    {
        return reports_;
    }

    /// Returns the instances on the platform's list that must confirm a staged
    /// revision, this one included.
    std::vector<instance_id> required_confirmations() const;

private:
    void send(const instance_id& to,
              schema::peer_message_record message,
              bool fresh_connection = false);
    void tick(time_point now);
    void exchange_demand(time_point now);
    void abandon_overdue(time_point now);
    boost::asio::awaitable<void> abandon_staged_revision();
    struct poll_plan
    {
        std::vector<server_id> servers;
        double per_second = 1.0;
    };

    poll_plan plan_polls(time_point now) const;
    void start_poll(const server_id& server);
    boost::asio::awaitable<void> poll_server(server_id server,
                                             http_endpoint endpoint);
    void publish(time_point now);
    std::shared_ptr<serving_view> build_view(time_point now);
    void apply_instance_list(const std::vector<listed_instance>& list);

    daemon_context& context_;
    table_worker& table_;
    backend_client& backends_;
    caller_front& callers_;
    peer_link* link_ = nullptr;
    membership members_;
    server_reports reports_;
    configuration_worker configuration_;
    placement_worker placement_;
    view_builder builder_;
    time_point next_publish_{};
    std::set<server_id> polling_;
    std::set<server_id> leaving_servers_;
    std::set<instance_id> removed_instances_;
    std::set<crash_blame> quarantine_;
    std::uint64_t table_version_ = 0;
    std::uint64_t placed_revision_ = 0;
    std::size_t live_count_ = 1;
    bool was_undecided_ = false;
    bool is_abandoning_ = false;
    bool is_view_stale_ = true;
    time_point next_demand_{};
    time_point last_demand_{};
    http_endpoint list_endpoint_;
    http_client list_client_;
};

} // namespace barleyfork

#endif
