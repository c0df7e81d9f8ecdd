#ifndef BARLEYFORK_DAEMON_SRC_CALLER_FRONT_HPP
#define BARLEYFORK_DAEMON_SRC_CALLER_FRONT_HPP

#include "backend_client.hpp"
#include "daemon_context.hpp"
#include "load_board.hpp"
#include "serving_view.hpp"
#include "table_worker.hpp"

#include <barleyfork/core/crash_quarantine.hpp>
#include <barleyfork/core/fair_queue.hpp>
#include <barleyfork/core/replica_picker.hpp>
#include <barleyfork/core/retry_budget.hpp>
#include <barleyfork/core/token_bucket.hpp>
#include <barleyfork/net/http_server.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>

namespace barleyfork {

/// Demand per model since the last call, in server-seconds.
using demand_by_model = std::map<model_id, double>;

/// One caller's request with its identity and the view that it started with.
struct caller_request
{
    const http_incoming* incoming = nullptr;
    std::shared_ptr<const serving_view> view;
    organisation_entry owner;
    trace_context trace;
    std::string request_id;
    std::uint64_t fingerprint = 0;
    time_point arrived{};
};

/// Serves callers' requests: authentication, limits, routing, retries and
/// accurate outcomes. Runs on the caller worker; not thread-safe.
class caller_front
{
public:
    caller_front(daemon_context& context,
                 backend_client& backends,
                 table_worker& table);

    /// Replaces the view with a new one from the control worker.
    void set_view(std::shared_ptr<const serving_view> view);

    /// Records a server's reported load, in requests.
    void record_reported_load(const server_id& server, std::uint32_t load);

    /// Sets the callback for each new attribution of a crash to a request.
    void on_crash_attributed(std::function<void(const crash_blame&)> announce);

    /// Returns the demand counted since the last call and resets it.
    demand_by_model take_demand();

    boost::asio::awaitable<void> handle(const http_incoming& incoming,
                                        http_responder& out);

private:
    friend class model_request;
    friend class service_request;

    boost::asio::awaitable<void> dispatch(caller_request& request,
                                          http_responder& out);
    boost::asio::awaitable<bool>
    answer_plain_path(const http_incoming& incoming, http_responder& out);
    boost::asio::awaitable<void> list_models(const caller_request& request,
                                             http_responder& out);
    failure admit(const caller_request& request, double& wait_seconds);
    bool is_undecided(const caller_request& request,
                      std::string_view key_digest,
                      std::string_view model) const;
    token_bucket& request_bucket(const organisation_entry& owner,
                                 time_point now);
    token_bucket& token_bucket_of(const organisation_entry& owner,
                                  time_point now);

    /// Rejects the request with `error` and counts that as its outcome.
    boost::asio::awaitable<void> refuse(const caller_request& request,
                                        http_responder& out,
                                        failure error,
                                        double retry_after_seconds);

    /// Starts an attempt on the backend worker; null if its ring is full.
    std::shared_ptr<exchange> start_exchange(exchange_request request);

    /// Returns one candidate with its load for each of `servers`.
    std::vector<replica_candidate>
    fill_candidates(const serving_view& view,
                    const std::vector<std::size_t>& servers,
                    time_point now) const;

    /// Attributes the crash of one process of a server to the requests in
    /// flight on it. Every lost attempt reports the same crash, which counts
    /// once.
    void
    blame_crash(const server_id& server, std::uint64_t boot, time_point now);

    /// Wakes the next queued request after an attempt ended.
    void release_slot();

    daemon_context& context_;
    backend_client& backends_;
    table_worker& table_;
    std::shared_ptr<const serving_view> view_;
    std::unique_ptr<replica_picker> picker_;
    retry_budget budget_;
    crash_quarantine quarantine_;
    load_board loads_;
    fair_queue queue_;
    std::map<queue_ticket, std::shared_ptr<notifier>> waiting_;
    std::map<organisation_id, token_bucket> request_buckets_;
    std::map<organisation_id, token_bucket> token_buckets_;
    demand_by_model demand_;
    std::function<void(const crash_blame&)> announce_;
    pcg64 random_;
};

/// Returns the JSON body of an error response.
std::string error_body(const failure& error, std::string_view request_id);

/// Returns the HTTP status for an error.
unsigned http_status_of(errc kind) noexcept;

} // namespace barleyfork

#endif
