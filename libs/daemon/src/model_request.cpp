#include "model_request.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/base/log.hpp>
#include <barleyfork/net/sockets.hpp>

#include <algorithm>
#include <boost/json.hpp>

namespace barleyfork {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned first_failure_status = 500;
constexpr std::size_t max_prefix_bytes = 256;
constexpr duration suspect_period{2000};
constexpr double retry_after_seconds = 1.0;
/// A body with deeper nesting is rejected instead of parsed.
constexpr std::size_t max_json_depth = 32;

json::value parse_body(const std::string& body)
{
    json::parse_options options;
    options.max_depth = max_json_depth;
    json::error_code error;
    auto value = json::parse(body, error, {}, options);
    return error ? json::value() : value;
}

} // namespace

model_request::model_request(caller_front& front,
                             caller_request& request,
                             http_responder& out)
    : front_(front), request_(request), out_(out),
      body_(parse_body(request.incoming->body))
{
}

std::string model_request::model_name() const
{
    const auto* object = body_.if_object();
    if (object == nullptr)
        return {};
    const auto* name = object->if_contains("model");
    if (name == nullptr || !name->is_string())
        return {};
    return json::value_to<std::string>(*name);
}

void model_request::find_target(const std::string& name)
{
    const auto& config = *request_.view->config;
    model_ = config.find_model(request_.owner.id, name);
    if (model_ != nullptr)
        return;
    adapter_ = config.find_adapter(request_.owner.id, name);
    if (adapter_ != nullptr)
        model_ = config.find_model(adapter_->base_model);
}

/// Reads the fields that routing needs: `stream`, and the prompt's prefix,
/// hashed with the model's id so that no other organisation shares it.
void model_request::read_body()
{
    const auto& object = body_.as_object();
    const auto* stream = object.if_contains("stream");
    stream_ = stream != nullptr && stream->is_bool() && stream->as_bool();
    if (adapter_ != nullptr) {
        // A server that has used the adapter already has it in its slab.
        affinity_key_ = hash64(adapter_->id.value());
        return;
    }
    const auto* prompt = object.if_contains("messages");
    if (prompt == nullptr)
        prompt = object.if_contains("prompt");
    if (prompt == nullptr)
        return;
    const auto text = json::serialize(*prompt).substr(0, max_prefix_bytes);
    affinity_key_ = hash64(text, hash64(model_->id.value()));
}

asio::awaitable<void> model_request::run()
{
    find_target(model_name());
    if (model_ == nullptr) {
        co_await front_.refuse(
            request_, out_, make_failure(errc::not_found, ""), 0.0);
        co_return;
    }
    read_body();
    // A stream may stay open for a long time; free the parsed body, which is
    // no longer needed.
    body_ = nullptr;
    const auto& routing = *front_.context_.settings.routing;
    deadline_ = request_.arrived +
                duration(front_.context_.settings.caller->request_timeout_ms);
    request_traits traits;
    traits.idempotent = true;
    traits.resumable = stream_;
    traits.max_tries = routing.max_tries;
    traits.deadline = deadline_;
    progress_.emplace(traits);
    front_.budget_.on_first_attempt();
    front_.demand_[model_->id] +=
        1.0 / std::max(model_->requests_per_second_per_replica, 1e-3);

    auto step = next_step::retry;
    while (step == next_step::retry || step == next_step::resume) {
        const auto server = co_await choose();
        if (!server) {
            step = response_started_ ? next_step::abort_answer
                                     : progress_->step_without_candidate();
            break;
        }
        const auto result = co_await attempt(*server);
        if (result.caller_disconnected) {
            caller_disconnected_ = true;
            co_return;
        }
        const bool failed = result.end != attempt_outcome::answered;
        const bool budget =
            failed && (result.end == attempt_outcome::refused_by_server ||
                       result.end == attempt_outcome::not_sent ||
                       front_.budget_.try_take());
        step = progress_->after_attempt(
            result.end, response_started_, budget, steady_now());
        if (failed)
            front_.context_.measures.count_retry();
    }
    co_await conclude(step);
}

/// Returns the replicas of the current version, or of the newest older one if
/// there are none. A stream that has started keeps its version.
std::vector<serving_replica> model_request::current_replicas() const
{
    const auto& all = front_.view_->replicas;
    const auto found = all.find(model_->id);
    if (found == all.end())
        return {};
    std::uint32_t version = version_;
    if (!response_started_) {
        version = 0;
        for (const auto& replica : found->second)
            if (replica.version <= model_->version)
                version = std::max(version, replica.version);
    }
    std::vector<serving_replica> result;
    for (const auto& replica : found->second)
        if (replica.version == version)
            result.push_back(replica);
    return result;
}

std::optional<std::size_t> model_request::choose_now(bool& has_candidates)
{
    const auto now = steady_now();
    const auto& view = *front_.view_;
    const auto slots = front_.context_.settings.routing->server_slots;
    const auto limit_of = [&](const server_id& server) {
        // A response that is not streamed has no first token from which a limit
        // could be learned.
        return stream_ ? front_.loads_.limit(server) : slots;
    };
    const bool under_suspicion =
        front_.quarantine_.crashes(request_.fingerprint) != 0;
    std::vector<std::size_t> servers;
    has_candidates = false;
    for (const auto& replica : current_replicas()) {
        const auto& server = (*view.servers)[replica.server];
        if (!view.usable[replica.server] || excluded_.contains(server.entry.id))
            continue;
        has_candidates = true;
        version_ = replica.version;
        const auto outstanding = front_.loads_.outstanding(server.entry.id);
        // A request that may crash its server runs alone on it.
        const auto limit = limit_of(server.entry.id);
        if (outstanding < (under_suspicion ? 1 : limit))
            servers.push_back(replica.server);
    }
    const auto candidates = front_.fill_candidates(view, servers, now);
    pick_context context;
    context.affinity_key = affinity_key_;
    context.random = front_.random_();
    const auto choice = front_.picker_->pick(candidates, context, now);
    if (!choice)
        return std::nullopt;
    return servers[*choice];
}

/// Chooses a replica; waits in the fair queue while all are full.
asio::awaitable<std::optional<std::size_t>> model_request::choose()
{
    bool has_candidates = false;
    for (;;) {
        const auto choice = choose_now(has_candidates);
        if (choice)
            co_return choice;
        if (!has_candidates && !excluded_.empty()) {
            // Every replica has failed an attempt; allow each another one.
            excluded_.clear();
            if (const auto again = choose_now(has_candidates))
                co_return again;
        }
        if (!has_candidates || !co_await wait_in_queue())
            co_return std::nullopt;
    }
}

/// Waits for a slot; returns false if the queue rejects or displaces the
/// request or if its target can no longer be met.
asio::awaitable<bool> model_request::wait_in_queue()
{
    const auto begin = steady_now();
    const auto until = std::min(
        deadline_, request_.arrived + duration(model_->first_token_ms));
    rejected_by_queue_ = true;
    if (begin >= until)
        co_return false;
    const auto place =
        front_.queue_.push(request_.owner.id, request_.owner.weight);
    if (place.displaced) {
        const auto other = front_.waiting_.find(*place.displaced);
        if (other != front_.waiting_.end()) {
            auto wake = other->second;
            front_.waiting_.erase(other);
            wake->notify();
        }
    }
    if (!place.ticket)
        co_return false;
    const auto ticket = *place.ticket;
    const auto wake =
        std::make_shared<notifier>(front_.context_.caller.executor());
    front_.waiting_[ticket] = wake;
    const bool woken = co_await wake->wait(to_deadline(until));
    // Displaced requests are removed from the map before they are woken.
    const bool displaced = front_.waiting_.erase(ticket) == 0;
    front_.queue_.remove(ticket);
    const auto waited = (steady_now() - begin).count();
    front_.context_.measures.record_queue_time(static_cast<double>(waited));
    rejected_by_queue_ = !woken || displaced;
    co_return woken && !displaced;
}

exchange_request model_request::make_request(const serving_server& server) const
{
    const auto& routing = *front_.context_.settings.routing;
    exchange_request request;
    request.endpoint = server.endpoint;
    request.is_engine = true;
    request.method = "POST";
    request.target = request_.incoming->path;
    request.body = request_.incoming->body;
    request.connect_timeout = duration(routing.connect_timeout_ms);
    request.first_byte_timeout = duration(routing.first_byte_timeout_ms);
    request.progress_timeout = duration(routing.progress_timeout_ms);
    request.headers = {
        {"Content-Type", "application/json"},
        {"X-Model", model_->id.value()},
        {"X-Model-Version", std::to_string(version_)},
        {"X-Priority", std::to_string(model_->priority)},
        {"X-Cache-Salt", content_digest(request_.owner.id.value())},
        {"X-Request-Id", request_.request_id},
        {"X-Deadline-Ms", std::to_string((deadline_ - steady_now()).count())},
        {"traceparent", attempt_trace_.to_header()}};
    if (adapter_ != nullptr) {
        request.headers.emplace_back("X-Adapter", adapter_->id.value());
        request.headers.emplace_back("X-Adapter-Mib",
                                     std::to_string(adapter_->memory_mib));
    }
    if (response_started_ && stream_)
        request.headers.emplace_back("X-Resume-From",
                                     std::to_string(events_.events()));
    return request;
}

asio::awaitable<model_request::attempt_result>
model_request::attempt(std::size_t server_index)
{
    const auto view = front_.view_;
    const auto& server = (*view->servers)[server_index];
    const auto id = server.entry.id;
    const auto started = wall_clock_ms();
    const auto begin = steady_now();
    attempt_result result;
    last_server_ = id;
    attempt_trace_ = request_.trace.child();
    events_.drop_partial();
    complete_body_.clear();
    const auto work = front_.start_exchange(make_request(server));
    if (!work)
        co_return result;
    front_.loads_.begin(id, request_.fingerprint);
    exchange_event event;
    bool ended = false;
    while (!ended) {
        if (!co_await work->pop(event, to_deadline(deadline_))) {
            work->cancel();
            result.end = attempt_outcome::lost_before_answer;
            break;
        }
        ended = event.part == exchange_part::end;
        if (ended) {
            result.end = event.end;
            result.server_crashed = event.server_crashed;
            result.crashed_boot = event.crashed_boot;
        }
        else if (is_too_large(event)) {
            work->cancel();
            log_discarded_answer(id);
            result.end = response_started_
                             ? attempt_outcome::lost_during_answer
                             : attempt_outcome::lost_before_answer;
            break;
        }
        else if (!co_await forward(event)) {
            work->cancel();
            result.caller_disconnected = true;
            break;
        }
    }
    if (result.end == attempt_outcome::answered && stream_ &&
        status_ == status_ok && !events_.done())
        result.end = attempt_outcome::lost_during_answer;
    const auto now = steady_now();
    if (result.server_crashed)
        front_.blame_crash(id, result.crashed_boot, now);
    front_.loads_.end(id, request_.fingerprint);
    front_.release_slot();
    if (result.end != attempt_outcome::answered && !result.caller_disconnected)
    {
        excluded_.insert(id);
        if (result.end != attempt_outcome::refused_by_server)
            front_.loads_.suspect(id, now + suspect_period);
    }
    const std::string note = "server=" + id.value() + " end=" +
                             std::to_string(static_cast<int>(result.end)) +
                             " request=" + request_.request_id;
    front_.context_.traces.record(
        {attempt_trace_, "attempt", started, (now - begin).count(), note});
    co_return result;
}

/// Returns whether what is buffered of a response, all of it or an incomplete
/// event of a stream, would exceed the limit on bodies: it may never end.
bool model_request::is_too_large(const exchange_event& event) const
{
    const auto buffered =
        response_started_ ? events_.partial_bytes() : complete_body_.size();
    return buffered + event.bytes.size() >
           front_.context_.settings.caller->max_body_bytes;
}

void model_request::log_discarded_answer(const server_id& server) const
{
    log_event(log_level::warn, "answer_too_large")
        .with("request", request_.request_id)
        .with("server", server.value());
}

asio::awaitable<bool> model_request::forward(const exchange_event& event)
{
    if (event.part == exchange_part::head)
        co_return co_await forward_head(event);
    co_return co_await forward_data(event);
}

asio::awaitable<bool> model_request::forward_head(const exchange_event& event)
{
    if (event.server_load >= 0)
        front_.loads_.record_load(last_server_,
                                  static_cast<std::uint32_t>(event.server_load),
                                  steady_now());
    status_ = event.status;
    content_type_ = event.content_type;
    const bool streamed = stream_ && status_ == status_ok;
    if (!streamed || response_started_)
        co_return true;
    response_started_ = true;
    http_outgoing head;
    head.status = status_;
    head.content_type = content_type_;
    head.headers.emplace_back("X-Request-Id", request_.request_id);
    co_return co_await out_.begin(std::move(head));
}

asio::awaitable<bool> model_request::forward_data(const exchange_event& event)
{
    if (!response_started_) {
        complete_body_ += event.bytes;
        co_return true;
    }
    const auto before = events_.events();
    const auto complete_events = events_.feed(event.bytes);
    std::string joined;
    for (const auto& text : complete_events)
        joined += text;
    const auto tokens = events_.events() - before;
    if (tokens != 0) {
        const auto now = steady_now();
        record_token_times(now);
        front_.context_.measures.count_tokens(tokens);
        front_.token_bucket_of(request_.owner, now)
            .take(static_cast<double>(tokens), now);
    }
    if (joined.empty())
        co_return true;
    co_return co_await out_.write(joined);
}

void model_request::record_token_times(time_point now)
{
    if (first_token_at_ == time_point{}) {
        first_token_at_ = now;
        const auto waited =
            static_cast<double>((now - request_.arrived).count());
        front_.context_.measures.record_first_token(waited);
        front_.loads_.record_first_token(
            last_server_, waited, model_->first_token_ms, now);
    }
    else {
        const auto gap = static_cast<double>((now - last_token_at_).count());
        max_gap_ms_ = std::max(max_gap_ms_, gap);
        front_.context_.measures.record_between_tokens(gap);
    }
    last_token_at_ = now;
}

asio::awaitable<void> model_request::conclude(next_step step)
{
    if (step == next_step::finish) {
        // An engine that fails may not have got far enough to crash.
        if (status_ < first_failure_status)
            front_.quarantine_.on_answer(request_.fingerprint, steady_now());
        co_await finish();
        co_return;
    }
    auto kind = errc::no_replica;
    if (step == next_step::report_unknown)
        kind = errc::outcome_unknown;
    else if (rejected_by_queue_)
        kind = errc::overloaded;
    else if (steady_now() >= deadline_)
        kind = errc::timeout;
    if (front_.quarantine_.refused(request_.fingerprint, steady_now()))
        kind = errc::quarantined;
    if (step != next_step::abort_answer) {
        co_await front_.refuse(
            request_, out_, make_failure(kind, ""), retry_after_seconds);
        co_return;
    }
    // The response has started: report the error in the stream, then abort the
    // connection, so that the response can't be mistaken for a complete one.
    front_.context_.measures.count_outcome(errc::connection_lost);
    const auto error = make_failure(
        errc::connection_lost, "the response ended before it was complete");
    co_await out_.write("event: error\ndata: " +
                        error_body(error, request_.request_id) + "\n\n");
    out_.abort();
}

asio::awaitable<void> model_request::finish()
{
    auto& measures = front_.context_.measures;
    measures.count_outcome(errc::ok);
    if (response_started_) {
        co_await out_.finish();
        const auto first = (first_token_at_ - request_.arrived).count();
        measures.count_attainment(first <= model_->first_token_ms &&
                                  max_gap_ms_ <= model_->between_tokens_ms);
        co_return;
    }
    http_outgoing answer;
    answer.status = status_;
    answer.content_type = content_type_;
    answer.headers.emplace_back("X-Request-Id", request_.request_id);
    answer.body = std::move(complete_body_);
    co_await out_.send(std::move(answer));
}

} // namespace barleyfork
