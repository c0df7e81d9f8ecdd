#ifndef BARLEYFORK_GATEWAY_SRC_GATEWAY_CONTEXT_HPP
#define BARLEYFORK_GATEWAY_SRC_GATEWAY_CONTEXT_HPP

#include "backend_pool.hpp"
#include "crash_watch.hpp"
#include "gateway_metrics.hpp"
#include "timer_queue.hpp"

#include <barleyfork/core/adapter_use.hpp>
#include <barleyfork/core/backend_directory.hpp>
#include <barleyfork/core/backend_loads.hpp>
#include <barleyfork/core/crash_quarantine.hpp>
#include <barleyfork/core/drain_plan.hpp>
#include <barleyfork/core/gateway_configuration.hpp>
#include <barleyfork/core/memory_budget.hpp>
#include <barleyfork/core/pace_estimator.hpp>
#include <barleyfork/core/server_choice.hpp>
#include <barleyfork/core/server_process.hpp>
#include <barleyfork/core/shared_retry_budget.hpp>
#include <barleyfork/core/suspect_runs.hpp>
#include <barleyfork/gateway/platform_port.hpp>
#include <barleyfork/net/duty.hpp>
#include <barleyfork/schema/gateway_generated.h>

#include <algorithm>
#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace barleyfork {

/// Bounded sets of what callers wait for, told to the placement's holder.
struct placement_wishes
{
    /// Work asked of each model since the last news, in server-seconds.
    std::map<model_id, double> work;
    /// Adapters that no server holds.
    std::set<std::pair<model_id, std::string>> needs;
    /// Adapters that requests used since the last news.
    std::set<std::pair<model_id, std::string>> uses;
};

/// The place of a waiting call: the most urgent first, of these the least
/// suspected of ending servers, of these the oldest.
struct waiting_place
{
    std::uint32_t priority = 0;
    /// Crashes blamed on its request where that is suspected.
    std::size_t crashes = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const waiting_place&,
                            const waiting_place&) = default;
};

/// What all parts of a gateway share. Everything runs on one duty, since a
/// request's caller side and server side would only hand each event over.
struct gateway_context
{
    /// Tasks that the duty's ring holds.
    static constexpr std::size_t ring_capacity = 1024;

    gateway_context(schema::gateway_settings_record given, platform_port port);

    distance distance_to(const failure_domain_id& place) const;

    /// The retry budget of a service; made at its first use.
    shared_retry_budget& budget(const service_id& service);

    /// Tells how many daemons share the retry budgets.
    void set_daemons(std::size_t count);

    /// How many daemons there are, this one included; at least 1.
    std::size_t daemons() const noexcept
    {
        return std::max<std::size_t>(daemons_, 1);
    }

    /// Time between a daemon's messages to the placement's holder. It hears
    /// from every daemon, so many of them speak less often.
    duration news_interval() const noexcept;

    /// Work that other daemons may have sent to a server since their last
    /// news where these are rare, in milliseconds of the server.
    double unheard_work_ms() const noexcept;

    /// Calls that wait look again at what can serve them.
    void wake_waiting();

    /// The same once what runs now is done.
    void wake_waiting_soon();

    /// The daemon ends: calls whose answers have not begun are answered.
    void end_calls();

    /// First, so that it outlives all that holds sockets of its loop.
    duty serving{"serving", ring_capacity};
    schema::gateway_settings_record settings;
    platform_port platform;
    instance_id self;
    timer_queue timers;
    backend_pool pool;
    /// Answers that are held until they are whole, or until callers read.
    memory_budget answers;
    crash_watch crashes;
    /// Requests that end the servers that run them.
    crash_quarantine quarantine;
    /// Where those of them run that are not refused yet.
    suspect_runs suspects;
    gateway_metrics measures;
    /// Null until the first configuration came.
    std::shared_ptr<const gateway_configuration> configuration;
    backend_directory directory;
    /// True once the list of servers was read.
    bool servers_known = false;
    backend_loads loads;
    std::map<model_id, pace_estimator> paces;
    /// What one request takes a plain service, in ms, smoothed.
    std::map<service_id, double> service_times;
    placement_wishes wishes;
    /// Processes that said in an answer to this daemon that they leave, or to
    /// another one while this one holds placement; not told on yet.
    std::vector<server_process> untold_leaving;
    /// Adapters that this daemon's requests use on the servers.
    running_uses adapters;
    /// Called when an adapter is wanted at once.
    std::function<void()> on_need;
    /// Calls that wait for a server.
    std::map<waiting_place, std::function<void()>> waiting;
    /// Waits since the start; numbers them.
    std::uint64_t waits = 0;
    drain_plan drain;
    /// What each call does at the latest when the daemon ends, by its number.
    std::map<std::uint64_t, std::function<void()>> calls;
    /// Calls since the start; numbers them.
    std::uint64_t calls_begun = 0;
    std::mt19937_64 random{std::random_device{}()};

private:
    std::map<failure_domain_id, region_id> regions_;
    std::map<service_id, shared_retry_budget> budgets_;
    std::size_t daemons_ = 0;
};

} // namespace barleyfork

#endif
