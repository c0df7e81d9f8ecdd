#include "service_request.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/base/log.hpp>
#include <barleyfork/net/sockets.hpp>
#include <barleyfork/store/row_codec.hpp>

#include <utility>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

constexpr double retry_after_seconds = 1.0;
constexpr std::size_t max_key_bytes = 255;
/// With `settle_interval_ms` an hour, the longest table outage that is
/// planned for.
constexpr int max_settle_attempts = 7200;
constexpr std::int64_t settle_interval_ms = 500;
constexpr duration suspect_period{2000};

bool is_safe_method(std::string_view method)
{
    return method == "GET" || method == "HEAD";
}

} // namespace

service_request::service_request(caller_front& front,
                                 caller_request& request,
                                 http_responder& out)
    : front_(front), request_(request), out_(out)
{
}

asio::awaitable<void> service_request::run()
{
    const auto& incoming = *request_.incoming;
    route_ =
        request_.view->config->find_route(request_.owner.id, incoming.path);
    if (route_ == nullptr) {
        co_await refuse(errc::not_found, 0.0);
        co_return;
    }
    deadline_ = request_.arrived +
                duration(front_.context_.settings.caller->request_timeout_ms);
    request_traits traits;
    traits.idempotent = route_->idempotent || is_safe_method(incoming.method);
    traits.max_tries = front_.context_.settings.routing->max_tries;
    traits.deadline = deadline_;
    progress_.emplace(traits);
    front_.budget_.on_first_attempt();
    if (!traits.idempotent) {
        co_await run_claimed();
        co_return;
    }
    call_result result;
    const auto step = co_await run_attempts(result);
    co_await answer(step, result);
}

asio::awaitable<void> service_request::run_claimed()
{
    const auto& incoming = *request_.incoming;
    const std::string key(incoming.header("idempotency-key"));
    if (key.empty() || key.size() > max_key_bytes) {
        co_await front_.refuse(
            request_,
            out_,
            make_failure(errc::invalid_input,
                         "this route is not idempotent; send an "
                         "Idempotency-Key of 1 to 255 bytes"),
            0.0);
        co_return;
    }
    claim_key_ = claim_key(request_.owner.id, key);
    claim_.request_digest = content_digest(
        incoming.method + " " + incoming.path + "\n" + incoming.body);
    claim_.holder = front_.context_.self;
    claim_.claim_id = front_.context_.next_id();
    const auto started = wall_clock_ms();
    const auto begin = steady_now();
    const bool claimed = co_await claim();
    front_.context_.traces.record({request_.trace.child(),
                                   "claim",
                                   started,
                                   (steady_now() - begin).count(),
                                   claimed ? "claimed" : "not claimed"});
    if (!claimed)
        co_return;
    call_result result;
    const auto step = co_await run_attempts(result);
    if (step == next_step::finish)
        co_await record(claim_state::answered, result);
    else if (step == next_step::refuse_not_run)
        co_await record(claim_state::not_run, result);
    else
        co_await record(claim_state::unknown, result);
    co_await answer(step, result);
}

/// Claims the key; returns false if the caller has already been answered.
asio::awaitable<bool> service_request::claim()
{
    const auto write =
        co_await front_.table_.write(claim_key_, 0, encode(claim_));
    if (write.outcome == write_outcome::done) {
        claim_version_ = write.version;
        co_return true;
    }
    if (write.outcome == write_outcome::unknown) {
        // The claim may have been written although nothing was sent under it;
        // it is released in the background once the table is available.
        auto released = claim_;
        released.state = claim_state::not_run;
        front_.context_.caller.spawn(settle_in_background(
            front_.table_, claim_key_, std::move(released)));
        co_await refuse(errc::store_unavailable, retry_after_seconds);
        co_return false;
    }
    const auto existing = co_await front_.table_.read(claim_key_);
    if (existing.error) {
        co_await refuse(errc::store_unavailable, retry_after_seconds);
        co_return false;
    }
    co_return co_await handle_existing_claim(existing.row);
}

/// Handles an existing claim on the key; returns true if this call may be
/// sent.
asio::awaitable<bool>
service_request::handle_existing_claim(const table_row& row)
{
    claim_record existing;
    if (decode(row.value, existing)) {
        co_await refuse(errc::protocol_error, 0.0);
        co_return false;
    }
    const auto decision =
        decide_claim(existing, claim_.request_digest, claim_.claim_id);
    if (decision == claim_decision::send) {
        claim_version_ = row.version;
        co_return true;
    }
    if (decision == claim_decision::replay) {
        http_outgoing replay;
        replay.status = existing.status;
        replay.content_type = existing.content_type;
        replay.body = existing.body;
        replay.headers.emplace_back("Idempotency-Replayed", "true");
        front_.context_.measures.count_outcome(errc::ok);
        co_await out_.send(std::move(replay));
        co_return false;
    }
    if (decision == claim_decision::take_over) {
        const auto write = co_await front_.table_.write(
            claim_key_, row.version, encode(claim_));
        claim_version_ = write.version;
        if (write.outcome == write_outcome::done)
            co_return true;
        co_await refuse(write.outcome == write_outcome::conflict
                            ? errc::in_progress
                            : errc::store_unavailable,
                        retry_after_seconds);
        co_return false;
    }
    const bool holder_departed = front_.view_->gone.contains(existing.holder);
    co_await refuse(
        claim_error(existing, claim_.request_digest, holder_departed),
        retry_after_seconds);
    co_return false;
}

/// Records the outcome before the caller receives it. If the table is
/// unavailable, the response is sent and the record is written in the
/// background.
asio::awaitable<void> service_request::record(claim_state state,
                                              const call_result& result)
{
    auto record = claim_;
    record.state = state;
    record.status = result.status;
    record.content_type = result.content_type;
    record.body = result.body;
    const auto write = co_await front_.table_.write(
        claim_key_, claim_version_, encode(record));
    if (write.outcome != write_outcome::unknown)
        co_return;
    log_event(log_level::warn, "claim_not_recorded_yet")
        .with("request", request_.request_id)
        .with("trace", request_.trace.trace_id);
    front_.context_.caller.spawn(
        settle_in_background(front_.table_, claim_key_, std::move(record)));
}

/// Writes the final record of a claim once the table is available again.
/// Changes the row only while it belongs to this claim and is running.
asio::awaitable<void> service_request::settle_in_background(table_worker& table,
                                                            std::string key,
                                                            claim_record record)
{
    for (int i = 0; i < max_settle_attempts; ++i) {
        co_await sleep_for_ms(settle_interval_ms);
        const auto existing = co_await table.read(key);
        if (existing.error)
            continue;
        claim_record found;
        if (existing.row.version == 0 || decode(existing.row.value, found) ||
            found.claim_id != record.claim_id ||
            found.state != claim_state::running)
            co_return;
        const auto write =
            co_await table.write(key, existing.row.version, encode(record));
        if (write.outcome != write_outcome::unknown)
            co_return;
    }
}

asio::awaitable<next_step> service_request::run_attempts(call_result& result)
{
    auto step = next_step::retry;
    while (step == next_step::retry) {
        const auto server = choose();
        if (!server)
            co_return progress_->step_without_candidate();
        result = co_await attempt(*server);
        const bool failed = result.end != attempt_outcome::answered;
        const bool proved_not_run =
            result.end == attempt_outcome::not_sent ||
            result.end == attempt_outcome::refused_by_server;
        const bool budget =
            proved_not_run || (failed && front_.budget_.try_take());
        step =
            progress_->after_attempt(result.end, false, budget, steady_now());
        excluded_.insert(*server);
        if (step == next_step::retry)
            front_.context_.measures.count_retry();
    }
    co_return step;
}

std::optional<std::size_t> service_request::choose()
{
    const auto now = steady_now();
    const auto& view = *request_.view;
    const auto found = view.services.find(route_->service);
    if (found == view.services.end())
        return std::nullopt;
    std::vector<std::size_t> servers;
    for (const auto index : found->second)
        if (view.usable[index] && !excluded_.contains(index))
            servers.push_back(index);
    const auto candidates = front_.fill_candidates(view, servers, now);
    pick_context context;
    context.random = front_.random_();
    const auto choice = front_.picker_->pick(candidates, context, now);
    if (!choice)
        return std::nullopt;
    return servers[*choice];
}

asio::awaitable<service_request::call_result>
service_request::attempt(std::size_t server_index)
{
    const auto& server = (*request_.view->servers)[server_index];
    const auto id = server.entry.id;
    const auto& routing = *front_.context_.settings.routing;
    const auto& incoming = *request_.incoming;
    const auto started = wall_clock_ms();
    const auto begin = steady_now();
    const auto span = request_.trace.child();
    exchange_request request;
    request.endpoint = server.endpoint;
    request.method = incoming.method;
    request.target = incoming.path;
    if (!incoming.query.empty())
        request.target += "?" + incoming.query;
    request.body = incoming.body;
    request.may_reuse_connection = route_->idempotent;
    request.connect_timeout = duration(routing.connect_timeout_ms);
    request.first_byte_timeout = duration(routing.first_byte_timeout_ms);
    request.progress_timeout = duration(routing.progress_timeout_ms);
    request.headers = {
        {"Content-Type", std::string(incoming.header("content-type"))},
        {"X-Organisation", request_.owner.id.value()},
        {"X-Request-Id", request_.request_id},
        {"traceparent", span.to_header()}};
    const std::string key(incoming.header("idempotency-key"));
    if (!key.empty())
        request.headers.emplace_back("Idempotency-Key", key);
    const auto max_bytes = front_.context_.settings.caller->max_body_bytes;
    call_result result;
    const auto work = front_.start_exchange(std::move(request));
    if (!work)
        co_return result;
    front_.loads_.begin(id, request_.fingerprint);
    exchange_event event;
    for (;;) {
        if (!co_await work->pop(event, to_deadline(deadline_))) {
            work->cancel();
            result.end = attempt_outcome::lost_before_answer;
            break;
        }
        if (event.part == exchange_part::end) {
            result.end = event.end;
            break;
        }
        if (event.part == exchange_part::head) {
            result.status = event.status;
            result.content_type = event.content_type;
            result.body.clear();
        }
        else if (result.body.size() + event.bytes.size() > max_bytes) {
            result.too_large = true;
        }
        else {
            result.body += event.bytes;
        }
    }
    front_.loads_.end(id, request_.fingerprint);
    const auto now = steady_now();
    if (result.end == attempt_outcome::not_sent ||
        result.end == attempt_outcome::lost_before_answer)
        front_.loads_.suspect(id, now + suspect_period);
    front_.context_.traces.record(
        {span,
         "attempt",
         started,
         (now - begin).count(),
         "server=" + id.value() +
             " end=" + std::to_string(static_cast<int>(result.end))});
    co_return result;
}

asio::awaitable<void> service_request::answer(next_step step,
                                              call_result& result)
{
    if (step == next_step::finish && result.too_large) {
        co_await refuse(errc::too_large, 0.0);
        co_return;
    }
    if (step == next_step::finish) {
        front_.context_.measures.count_outcome(errc::ok);
        http_outgoing response;
        response.status = result.status;
        response.content_type = result.content_type;
        response.headers.emplace_back("X-Request-Id", request_.request_id);
        response.body = std::move(result.body);
        co_await out_.send(std::move(response));
        co_return;
    }
    const bool not_run = step == next_step::refuse_not_run;
    co_await refuse(not_run ? errc::no_replica : errc::outcome_unknown,
                    not_run ? retry_after_seconds : 0.0);
}

asio::awaitable<void> service_request::refuse(errc kind, double retry_after)
{
    co_await front_.refuse(request_, out_, make_failure(kind, ""), retry_after);
}

} // namespace barleyfork
