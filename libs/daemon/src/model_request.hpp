#ifndef BARLEYFORK_DAEMON_SRC_MODEL_REQUEST_HPP
#define BARLEYFORK_DAEMON_SRC_MODEL_REQUEST_HPP

#include "caller_front.hpp"

#include <barleyfork/core/event_splitter.hpp>
#include <barleyfork/core/request_progress.hpp>

#include <boost/json/value.hpp>
#include <optional>
#include <set>
#include <string>

namespace barleyfork {

/// One call of a model, across all its attempts.
class model_request
{
public:
    model_request(caller_front& front,
                  caller_request& request,
                  http_responder& out);

    /// Returns the `model` field of a completion call; empty if the field is
    /// missing or the body is not a JSON object.
    std::string model_name() const;

    /// Runs the call until it has exactly one outcome.
    boost::asio::awaitable<void> run();

private:
    struct attempt_result
    {
        attempt_outcome end = attempt_outcome::not_sent;
        bool server_crashed = false;
        std::uint64_t crashed_boot = 0;
        bool caller_disconnected = false;
    };

    void find_target(const std::string& name);
    void read_body();
    std::vector<serving_replica> current_replicas() const;
    boost::asio::awaitable<std::optional<std::size_t>> choose();
    std::optional<std::size_t> choose_now(bool& has_candidates);
    boost::asio::awaitable<bool> wait_in_queue();
    exchange_request make_request(const serving_server& server) const;
    boost::asio::awaitable<attempt_result> attempt(std::size_t server);
    bool is_too_large(const exchange_event& event) const;
    void log_discarded_answer(const server_id& server) const;
    boost::asio::awaitable<bool> forward(const exchange_event& event);
    boost::asio::awaitable<bool> forward_head(const exchange_event& event);
    boost::asio::awaitable<bool> forward_data(const exchange_event& event);
    void record_token_times(time_point now);
    boost::asio::awaitable<void> conclude(next_step step);
    boost::asio::awaitable<void> finish();

    caller_front& front_;
    caller_request& request_;
    http_responder& out_;
    /// The body, parsed once; null if it is not JSON.
    boost::json::value body_;
    const model_entry* model_ = nullptr;
    /// Set if the caller named an adapter of the model.
    const adapter_entry* adapter_ = nullptr;
    std::optional<request_progress> progress_;
    std::set<server_id> excluded_;
    server_id last_server_;
    /// The span of the current attempt, the parent of the engine's spans.
    trace_context attempt_trace_;
    std::uint32_t version_ = 0;
    std::uint64_t affinity_key_ = 0;
    bool stream_ = false;
    bool response_started_ = false;
    bool caller_disconnected_ = false;
    bool rejected_by_queue_ = false;
    unsigned status_ = 0;
    std::string content_type_;
    std::string complete_body_;
    event_splitter events_;
    time_point deadline_{};
    time_point first_token_at_{};
    time_point last_token_at_{};
    double max_gap_ms_ = 0.0;
};

} // namespace barleyfork

#endif
