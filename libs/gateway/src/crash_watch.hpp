#ifndef BARLEYFORK_GATEWAY_SRC_CRASH_WATCH_HPP
#define BARLEYFORK_GATEWAY_SRC_CRASH_WATCH_HPP

#include "backend_pool.hpp"
#include "timer_queue.hpp"

#include <barleyfork/core/backend_loads.hpp>
#include <barleyfork/core/crash_detector.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <vector>

namespace barleyfork {

/// Probes servers whose connections broke under requests, and reports processes
/// that crashed. Used by one worker only.
class crash_watch
{
public:
    using tcp = boost::asio::ip::tcp;
    using crash_handler =
        std::function<void(const server_id&, const crashed_process&)>;
    using answer_handler = std::function<void(const crash_suspects&)>;

    crash_watch(boost::asio::any_io_executor executor,
                timer_queue& timers,
                const backend_pool& pool,
                const backend_loads& loads);
    crash_watch(const crash_watch&) = delete;
    crash_watch& operator=(const crash_watch&) = delete;

    /// Sets the handler that is called with each crashed process.
    void on_process_crashed(crash_handler handler)
    {
        on_crash_ = std::move(handler);
    }

    /// Sets the handler that is called with a request that was answered
    /// completely, once its server is known to have survived it.
    void on_answer_confirmed(answer_handler handler)
    {
        on_answer_ = std::move(handler);
    }

    /// Records that a connection to `target` ended under a request, and
    /// schedules a probe of the server. `is_answered` is true if the response
    /// is complete unless the process ended too.
    void on_connection_ended(const server_process& process,
                             const tcp::endpoint& target,
                             const broken_request& broken,
                             bool is_answered);

    /// Records that this daemon closed the connection of a request that
    /// `target` may still run. The server is probed unless this daemon has
    /// other requests there, whose connections would break too.
    void on_request_abandoned(const server_process& process,
                              const tcp::endpoint& target,
                              const crash_suspects& suspects);

    /// Processes the listing of a process in the store.
    void on_process_listed(const listening_process& at);

private:
    void probe(const server_id& server, const tcp::endpoint& target);
    void handle_probe_result(const server_id& server, bool is_running);

    boost::asio::any_io_executor executor_;
    timer_queue& timers_;
    const backend_pool& pool_;
    const backend_loads& loads_;
    crash_detector detector_;
    crash_handler on_crash_;
    answer_handler on_answer_;
    /// Requests to each server that are answered if it is found running.
    std::map<server_id, std::vector<crash_suspects>> unconfirmed_;
};

} // namespace barleyfork

#endif
