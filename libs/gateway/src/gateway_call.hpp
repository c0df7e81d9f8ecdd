#ifndef BARLEYFORK_GATEWAY_SRC_GATEWAY_CALL_HPP
#define BARLEYFORK_GATEWAY_SRC_GATEWAY_CALL_HPP

#include "backend_connection.hpp"
#include "caller_identity.hpp"
#include "caller_port.hpp"
#include "gateway_context.hpp"

#include <barleyfork/core/crash_suspects.hpp>
#include <barleyfork/core/event_splitter.hpp>
#include <barleyfork/core/request_progress.hpp>
#include <barleyfork/core/room_policy.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace barleyfork {

/// One request of a caller, from its last byte to the end of its response.
///
/// Chooses a server or waits for one, sends the request, retries it if that is
/// allowed, and ends with exactly one response: the unchanged one of a server,
/// or one made by the gateway. Not thread-safe: used by one worker thread only.
class gateway_call : public answer_receiver,
                     public std::enable_shared_from_this<gateway_call>
{
public:
    gateway_call(gateway_context& context,
                 std::shared_ptr<caller_port> caller,
                 caller_request request);
    gateway_call(const gateway_call&) = delete;
    gateway_call& operator=(const gateway_call&) = delete;
    ~gateway_call() override;

    void begin();

    /// Stops all work for the call after the caller closed its connection.
    void on_caller_disconnected();

    /// Resumes reading from the server once enough of the response has been
    /// written to the caller.
    void on_answer_bytes_written();

    outgoing_request on_send_started() override;
    bool on_head(const answer_head& head) override;
    void on_body(std::string_view bytes) override;
    void on_end(exchange_result end) override;

private:
    /// The expected response time of a plain service before its first
    /// response, in milliseconds.
    static constexpr double default_service_ms = 30.0;

    /// Marks an adapter as in use during the lifetime of the attempt.
    class adapter_use_scope
    {
    public:
        adapter_use_scope(active_adapter_uses& uses, adapter_use use)
            : uses_(uses), use_(use)
        {
            uses_.begin(use_);
        }
        adapter_use_scope(const adapter_use_scope&) = delete;
        adapter_use_scope& operator=(const adapter_use_scope&) = delete;
        ~adapter_use_scope()
        {
            uses_.end(use_);
        }

    private:
        active_adapter_uses& uses_;
        adapter_use use_;
    };

    /// The server process chosen for a request, and its address.
    struct choice
    {
        server_id server;
        std::uint64_t started_ms = 0;
        boost::asio::ip::tcp::endpoint target;
        double expected_ms = 0.0;
        std::size_t candidates = 0;
        prompt_order order = prompt_order::in_turn;
    };

    /// One send of the request to a server.
    struct attempt : choice
    {
        attempt(choice chosen, memory_budget& answer_memory)
            : choice(std::move(chosen)), memory(answer_memory)
        {
        }

        std::optional<adapter_use_scope> adapter_in_use;
        /// True if the request is suspected of crashing servers. It then runs
        /// on no server that runs another suspected request.
        bool suspected = false;
        std::shared_ptr<backend_connection> connection;
        load_ticket ticket{};
        bool has_begun_sending = false;
        time_point sent_at{};
        /// Tokens that the engine had to process before the first event.
        std::uint64_t tokens_ahead = 0;
        std::optional<answer_head> head;
        answer_metadata facts;
        /// True if events are forwarded as they arrive.
        bool is_streamed = false;
        bool has_first_event = false;
        /// When the head or the last event of a stream arrived.
        time_point last_progress_at{};
        /// True if the response was received up to its framed end.
        bool is_answer_complete = false;
        std::string body;
        event_splitter splitter;
        memory_budget::share memory;
    };

    /// The reason why no server was chosen.
    enum class wait_reason : std::uint8_t
    {
        no_server,
        no_adapter,
        /// The servers' queues are too long.
        no_capacity,
        /// All eligible servers reject requests for a while.
        servers_rejecting,
        /// The request is suspected of crashing servers. Another suspected
        /// request runs on the eligible server, or this request runs already.
        isolated,
        /// The eligible servers take no further request yet, by the limits that
        /// they name.
        limited,
    };

    bool identify_caller();
    void reject_for_key(const caller_identity& caller);
    std::uint32_t priority() const;
    bool find_route();
    void log_missing_route(std::string_view host) const;
    bool is_accepted_while_draining(time_point now) const;
    void on_shutdown();
    time_point deadline_of(time_point arrived_at) const;
    void set_deadline(time_point now);
    bool use_quota();
    void on_quota_decision(const quota_decision& decision);
    void release_quota();
    void run_admitted();
    void count_demand();
    void dispatch();
    std::vector<server_candidate>
    candidates(prompt_order order, time_point now, wait_reason& reason) const;
    std::optional<choice> choose(time_point now, wait_reason& reason);
    double expected_ms(const server_candidate& candidate) const;
    engine_work work() const;
    bool may_yield() const;
    std::uint32_t load_priority(prompt_order order) const;
    void choose_order(choice& chosen,
                      const server_candidate& yielding,
                      time_point now) const;
    void observe_yielded(time_point now);
    bool is_for_engine() const;
    const gateway_service* service() const;
    server_group group() const;
    room_request room_needs() const;
    waiting_request waiting_needs(time_point until, time_point now) const;
    room_decision decide_room(const choice& chosen, time_point now) const;
    bool is_returned() const;
    void wake_calls_ahead(time_point now);
    std::uint32_t urgency() const;
    static const char* wait_reason_name(wait_reason reason) noexcept;
    void start_attempt(const choice& chosen, time_point now);
    header_list forward_headers(const server_id& server, time_point now) const;
    void wait_for_server(wait_reason reason, time_point now);
    void wait_for_room(const room_decision& decision, time_point now);
    void
    enter_waiting_room(wait_reason reason, time_point until, time_point now);
    void reject_for_room(const room_decision& decision, time_point now);
    void stop_waiting();
    void start_attempt_timer(const choice& chosen, time_point now);
    void on_attempt_timeout();
    void on_deadline();

    attempt_outcome classify(exchange_result end) const;
    bool belongs_to_request() const;
    const char* answer_origin() const;
    bool is_retryable_failure() const;
    bool is_authentic_answer() const;
    bool is_part_of_stream(unsigned status) const;
    void record_attempt_end(attempt_outcome end,
                            exchange_result exchange,
                            time_point now);
    void report_to_crash_watch(exchange_result exchange,
                               attempt_outcome end,
                               time_point now);
    void after_attempt(attempt_outcome end, time_point now);
    bool reserve_retry(time_point now);
    void on_rejected_by_server(time_point now);
    void apply_server_status(time_point now);
    void retry_elsewhere(time_point now);
    void send_or_wait(const choice& chosen, time_point now);
    time_point earliest_acceptance(time_point now) const;
    time_point earliest_within_limit(time_point now) const;
    bool is_eligible(const backend_state& state, time_point now) const;
    bool is_within_limit(const server_id& id,
                         const backend_state& state,
                         time_point now) const;
    holding residency_on(const backend_state& state, time_point now) const;
    bool reject_if_quarantined(time_point now);
    bool is_suspected(time_point now) const;
    bool reserve_body_memory(std::size_t size);
    void give_up_answer();
    void log_discarded_answer(std::size_t size) const;
    void forward_events(const std::vector<std::string>& events);
    bool is_duplicate_event(const std::string& event);
    void begin_stream();
    void record_first_event();
    time_point expected_disconnect_at() const;
    void finish_stream();
    void deliver_answer();

    void reject(errc kind, std::optional<duration> retry_after);
    bool may_still_send(time_point now) const;
    void withdraw_attempt(time_point now);
    load_outcome outcome_when_caller_left(time_point now) const;
    bool is_stalled(time_point now) const;
    duration patience(const choice& chosen) const;
    void abandon_attempt(load_outcome end, time_point now);
    void release_server(load_outcome end, time_point now);
    void finish(errc kind);
    void log_end(errc kind, unsigned status) const;
    std::string fingerprint_text() const;
    std::string prompt_parts_text() const;
    crash_suspects make_suspects() const;

    gateway_context& context_;
    /// Identifies this call among the running ones.
    std::uint64_t call_number_ = 0;
    std::shared_ptr<caller_port> caller_;
    caller_request request_;
    request_metadata facts_;
    /// What this request may crash servers by.
    crash_suspects suspects_;
    std::shared_ptr<const gateway_configuration> configuration_;
    /// The organisation of the caller's key, which `configuration_` contains;
    /// null if the request needs no key.
    const gateway_organisation* organisation_ = nullptr;
    /// The tokens of the organisation's quota that this request uses, or its
    /// ticket while it waits for them.
    quota_charge charge_;
    std::uint64_t quota_ticket_ = 0;
    /// The number of sends that a server may have run.
    int uncertain_sends_ = 0;
    const gateway_route* route_ = nullptr;
    service_id service_;
    std::optional<request_progress> progress_;
    time_point received_at_{};
    time_point deadline_{};
    std::optional<attempt> attempt_;
    /// Held from the decision to retry until the retry is sent.
    std::unique_ptr<shared_retry_budget::reservation> retry_;
    /// The number of attempts at each server.
    std::map<server_id, int> sends_per_server_;
    int send_count_ = 0;
    int run_count_ = 0;
    /// True once the first part of the response was sent to the caller.
    bool is_delivering_ = false;
    /// Milliseconds until the first part of the response was sent to the
    /// caller; -1 before that.
    std::int64_t first_event_ms_ = -1;
    /// The id of the last event that was sent to the caller.
    std::string last_event_;
    timer_queue::timer_id deadline_timer_ = 0;
    timer_queue::timer_id wait_timer_ = 0;
    timer_queue::timer_id attempt_timer_ = 0;
    std::optional<time_point> waiting_since_;
    /// Set while this call waits because of the servers' limits.
    std::optional<server_group> limited_wait_;
    waiting_ticket waiting_ticket_{};
    /// True once the request was sent in its turn, as the most urgent one.
    bool is_promoted_ = false;
    /// Runs while the call waits for room: none of this daemon's events may
    /// tell when there is some.
    timer_queue::timer_id room_timer_ = 0;
    bool is_finished_ = false;
};

} // namespace barleyfork

#endif
