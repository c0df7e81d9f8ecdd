#ifndef BARLEYFORK_GATEWAY_SRC_GATEWAY_CALL_HPP
#define BARLEYFORK_GATEWAY_SRC_GATEWAY_CALL_HPP

#include "backend_connection.hpp"
#include "caller_port.hpp"
#include "gateway_context.hpp"

#include <barleyfork/core/event_splitter.hpp>
#include <barleyfork/core/request_progress.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace barleyfork {

/// One request of a caller from its last byte to the end of its answer.
///
/// It chooses a server, or waits for one, sends the request, sends it again
/// where that is allowed, and ends in exactly one answer: the server's own,
/// unchanged, or one of the gateway. Belongs to one duty.
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

    /// The caller closed its connection: work for it stops.
    void on_caller_gone();

    /// The caller has taken some of the answer.
    void on_caller_reads();

    void on_sending() override;
    bool on_head(const answer_head& head) override;
    void on_body(std::string_view bytes) override;
    void on_end(exchange_end end) override;

private:
    /// What a plain service takes for a request until one was answered.
    static constexpr double assumed_service_ms = 30.0;

    /// Counts an adapter as used for as long as the attempt lasts.
    class adapter_mark
    {
    public:
        adapter_mark(running_uses& uses, adapter_use use)
            : uses_(uses), use_(use)
        {
            uses_.begin(use_);
        }
        adapter_mark(const adapter_mark&) = delete;
        adapter_mark& operator=(const adapter_mark&) = delete;
        ~adapter_mark()
        {
            uses_.end(use_);
        }

    private:
        running_uses& uses_;
        adapter_use use_;
    };

    /// The process that is best for a request, and where it listens.
    struct choice
    {
        server_id server;
        std::uint64_t started_ms = 0;
        boost::asio::ip::tcp::endpoint target;
        double expected_ms = 0.0;
        std::size_t candidates = 0;
    };

    /// One send of the request to a server.
    struct attempt : choice
    {
        attempt(choice chosen, memory_budget& answers)
            : choice(std::move(chosen)), memory(answers)
        {
        }

        std::optional<adapter_mark> uses_adapter;
        /// The request may end servers: it runs apart from others that may.
        bool suspected = false;
        std::shared_ptr<backend_connection> connection;
        load_ticket ticket{};
        bool sending = false;
        time_point sent_at{};
        /// Tokens that the engine had to read before the first event.
        std::uint64_t tokens_ahead = 0;
        std::optional<answer_head> head;
        answer_facts facts;
        /// Events are passed on as they come.
        bool streams = false;
        bool first_event = false;
        /// The answer came to its framed end.
        bool answer_whole = false;
        std::string body;
        event_splitter splitter;
        memory_budget::share memory;
    };

    /// Why no server was chosen.
    enum class lack : std::uint8_t
    {
        no_server,
        no_adapter,
        /// The servers' queues are too long.
        no_room,
        /// All servers that could take it want nothing for a while.
        turned_away,
        /// Another request that may end servers runs where it could go, or
        /// this one runs already.
        kept_apart,
    };

    /// What is best for a request, by the best server it could go to.
    enum class outlook : std::uint8_t
    {
        send,
        wait,
        hopeless,
    };

    bool find_route();
    bool begins_while_draining(time_point now) const;
    void on_daemon_ends();
    void set_deadline(time_point now);
    void count_demand();
    void dispatch();
    std::vector<server_candidate> candidates(time_point now, lack& why) const;
    std::optional<choice> choose(time_point now, lack& why);
    double expected_ms(const server_candidate& candidate) const;
    engine_work work() const;
    bool for_engine() const;
    const gateway_service* service() const;
    outlook judge(const choice& chosen, time_point now) const;
    static const char* lack_name(lack why) noexcept;
    void start_attempt(const choice& chosen, time_point now);
    header_list forward_headers(const server_id& server, time_point now) const;
    void wait(lack why, time_point now);
    void stop_waiting();
    void set_patience(const choice& chosen, time_point now);
    void on_patience();
    void on_deadline();

    attempt_end classify(exchange_end end) const;
    bool belongs_here() const;
    bool is_failure_to_repeat() const;
    bool is_sound_answer() const;
    void record_end(attempt_end end, exchange_end exchange, time_point now);
    void after_attempt(attempt_end end, time_point now);
    void on_refused_by_server(time_point now);
    void take_server_word(time_point now);
    void send_elsewhere(time_point now);
    void send_or_wait(const choice& chosen, time_point now);
    time_point soonest_server(time_point now) const;
    holding held_by(const backend_state& state, time_point now) const;
    bool refuse_quarantined(time_point now);
    bool is_suspected(time_point now) const;
    bool keep_body(std::size_t size);
    void forward_events(const std::vector<std::string>& events);
    bool is_repeated_event(const std::string& event);
    void begin_stream();
    void record_first_event();
    time_point leaves_at() const;
    void finish_stream();
    void deliver_answer();

    void refuse(errc kind, std::optional<duration> retry_after);
    duration return_time();
    bool is_still_wanted(time_point now) const;
    void withdraw_attempt(time_point now);
    void give_up_attempt(load_end end, time_point now);
    void release_server(load_end end, time_point now);
    void finish(errc kind);
    void log_end(errc kind, unsigned status) const;
    std::string fingerprint_text() const;

    gateway_context& context_;
    /// This call's place among those that run.
    std::uint64_t number_ = 0;
    std::shared_ptr<caller_port> caller_;
    caller_request request_;
    std::uint64_t fingerprint_ = 0;
    call_facts facts_;
    std::shared_ptr<const gateway_configuration> configuration_;
    const gateway_route* route_ = nullptr;
    service_id service_;
    std::optional<request_progress> progress_;
    time_point received_at_{};
    time_point deadline_{};
    std::optional<attempt> attempt_;
    /// How often each server got the request.
    std::map<server_id, int> tried_;
    int sends_ = 0;
    int runs_ = 0;
    /// The answer has begun to go to the caller.
    bool delivering_ = false;
    /// Until the caller got the first part of the answer; -1 where none.
    std::int64_t first_event_ms_ = -1;
    /// The id of the last event that the caller got.
    std::string last_event_;
    timer_queue::timer_id deadline_timer_ = 0;
    timer_queue::timer_id wait_timer_ = 0;
    timer_queue::timer_id patience_timer_ = 0;
    std::optional<time_point> waiting_since_;
    waiting_place waiting_key_;
    bool over_ = false;
};

} // namespace barleyfork

#endif
