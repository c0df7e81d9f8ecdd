#ifndef BARLEYFORK_GATEWAY_SRC_QUOTA_EXCHANGE_HPP
#define BARLEYFORK_GATEWAY_SRC_QUOTA_EXCHANGE_HPP

#include "timer_queue.hpp"

#include <barleyfork/core/gateway_configuration.hpp>
#include <barleyfork/core/quota_asker.hpp>
#include <barleyfork/core/quota_pool.hpp>
#include <barleyfork/schema/peer_generated.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace barleyfork {

/// Decides which requests the quotas of their organisations allow, and
/// exchanges tokens with the other daemons. Does nothing while no organisation
/// has a quota. Used by one worker only.
class quota_exchange
{
public:
    using transfer = std::unique_ptr<schema::token_transfer_record>;
    /// Sends a message to another daemon.
    using sender =
        std::function<void(const instance_id&, schema::message_kind, transfer)>;
    using decision_handler = std::function<void(quota_decision)>;

    quota_exchange(instance_id self, timer_queue& timers);

    /// Sets how messages are sent to other daemons.
    void on_send(sender send)
    {
        send_ = std::move(send);
    }

    /// Returns whether an organisation has a quota.
    bool is_active() const noexcept
    {
        return !terms_.empty();
    }

    /// Sets the organisations and how far their use may exceed their quotas.
    void set_organisations(const std::vector<gateway_organisation>& listed,
                           const quota_tolerance& tolerance);

    /// Sets all daemons including this one, and whether all others know it.
    void set_daemons(std::vector<pool_candidate> candidates, bool is_known);

    /// Decides on a request of an organisation that uses `tokens`. If the
    /// result is that it waits, `decided` is called later, unless the wait is
    /// cancelled.
    quota_decision decide(const gateway_organisation& organisation,
                          double tokens,
                          duration patience,
                          decision_handler decided);

    /// Cancels the wait of a request.
    void cancel(const gateway_organisation& organisation, std::uint64_t ticket);

    /// Returns the tokens of a request that was not run.
    void put_back(const gateway_organisation& organisation,
                  const quota_charge& charge);

    /// Processes a request for tokens or a grant of another daemon.
    void receive(const quota_sender& from,
                 schema::message_kind kind,
                 const schema::token_transfer_record& record);

    /// Returns the metrics in the text format of Prometheus; empty while no
    /// organisation ever had a quota.
    std::string metrics() const;

private:
    /// What requests of an organisation used since the start.
    struct usage
    {
        std::uint64_t account = 0;
        double used = 0.0;
        std::uint64_t refused = 0;
        std::uint64_t waited = 0;
    };
    struct waiter
    {
        organisation_id organisation;
        double tokens = 0.0;
        decision_handler decided;
    };

    void apply_terms();
    void admit_unlimited();
    void process(const quota_events& events);
    void ask(const quota_send& sent);
    void count(const organisation_id& organisation,
               double tokens,
               const quota_decision& decision);
    void schedule();
    void run();
    void log_pool();

    instance_id self_;
    timer_queue& timers_;
    sender send_;
    std::vector<gateway_organisation> limited_;
    quota_tolerance tolerance_;
    std::vector<pool_candidate> candidates_;
    bool is_known_ = false;
    std::map<std::uint64_t, quota_terms> terms_;
    quota_pool pool_;
    quota_asker asker_;
    /// The last pool that was logged.
    instance_id logged_pool_;
    std::map<organisation_id, usage> usages_;
    std::map<std::uint64_t, waiter> waiters_;
    timer_queue::timer_id timer_ = 0;
    time_point armed_for_ = time_point::max();
};

} // namespace barleyfork

#endif
