#include "caller_front.hpp"

#include "model_request.hpp"
#include "service_request.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/base/log.hpp>
#include <barleyfork/core/configuration_state.hpp>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>

namespace barleyfork {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr duration quarantine_memory{24 * 3600 * 1000};
constexpr double milliseconds_per_second = 1000.0;

constexpr std::array<unsigned, 22> statuses{
    200, 400, 404, 429, 503, 503, 502, 422, 503, 409, 409,
    409, 503, 502, 504, 413, 403, 409, 422, 502, 409, 503};

bool is_model_call(const http_incoming& incoming)
{
    return incoming.method == "POST" &&
           (incoming.path == "/v1/chat/completions" ||
            incoming.path == "/v1/completions");
}

/// Returns true if the path is in canonical form: no dot segments, no doubled
/// slashes and no percent-encoding.
bool is_plain_path(std::string_view path)
{
    return path.starts_with('/') && path.find("//") == std::string_view::npos &&
           path.find("/.") == std::string_view::npos &&
           path.find('%') == std::string_view::npos;
}

http_outgoing json_answer(unsigned status, std::string body)
{
    http_outgoing answer;
    answer.status = status;
    answer.body = std::move(body);
    return answer;
}

} // namespace

std::string error_body(const failure& error, std::string_view request_id)
{
    const json::object inner{{"code", error_name(kind_of(error.code))},
                             {"message", error.message()},
                             {"request_id", request_id}};
    return json::serialize(json::object{{"error", inner}});
}

unsigned http_status_of(errc kind) noexcept
{
    return statuses[static_cast<std::size_t>(kind)];
}

caller_front::caller_front(daemon_context& context,
                           backend_client& backends,
                           table_worker& table)
    : context_(context), backends_(backends), table_(table),
      view_(std::make_shared<serving_view>()),
      picker_(make_replica_picker(context.settings.routing->strategy.empty()
                                      ? "power_of_two"
                                      : context.settings.routing->strategy)),
      budget_(context.settings.routing->retry_percent),
      quarantine_({.memory = quarantine_memory}),
      loads_(context.settings.routing->server_slots),
      queue_(context.settings.routing->queue_limit),
      random_(hash64(context.run_id))
{
}

void caller_front::set_view(std::shared_ptr<const serving_view> view)
{
    const auto now = steady_now();
    for (const auto& blame : view->quarantine)
        quarantine_.merge(blame, now);
    view_ = std::move(view);
}

void caller_front::record_reported_load(const server_id& server,
                                        std::uint32_t load)
{
    loads_.record_load(server, load, steady_now());
}

void caller_front::on_crash_attributed(
    std::function<void(const crash_blame&)> announce)
{
    announce_ = std::move(announce);
}

demand_by_model caller_front::take_demand()
{
    return std::exchange(demand_, {});
}

asio::awaitable<void> caller_front::handle(const http_incoming& incoming,
                                           http_responder& out)
{
    if (co_await answer_plain_path(incoming, out))
        co_return;
    caller_request request;
    request.incoming = &incoming;
    request.view = view_;
    request.arrived = steady_now();
    request.trace = continue_or_start_trace(incoming.header("traceparent"));
    request.request_id = context_.next_id();
    const auto started = wall_clock_ms();
    co_await dispatch(request, out);
    const auto elapsed = (steady_now() - request.arrived).count();
    context_.traces.record(
        {request.trace,
         "caller",
         started,
         elapsed,
         "path=" + incoming.path + " request=" + request.request_id});
}

asio::awaitable<bool>
caller_front::answer_plain_path(const http_incoming& incoming,
                                http_responder& out)
{
    if (incoming.path == "/healthz") {
        co_await out.send(json_answer(200, R"({"status":"alive"})"));
        co_return true;
    }
    if (incoming.path == "/readyz") {
        const bool ready = !context_.draining && view_->config != nullptr;
        co_await out.send(json_answer(ready ? 200 : 503,
                                      ready ? R"({"status":"ready"})"
                                            : R"({"status":"not ready"})"));
        co_return true;
    }
    if (incoming.path == "/metrics") {
        context_.measures.set_retry_budget(budget_.left());
        auto answer = json_answer(200, context_.measures.to_prometheus());
        answer.content_type = "text/plain; version=0.0.4";
        co_await out.send(std::move(answer));
        co_return true;
    }
    co_return false;
}

asio::awaitable<void> caller_front::dispatch(caller_request& request,
                                             http_responder& out)
{
    const auto& incoming = *request.incoming;
    if (context_.draining) {
        co_await refuse(request, out, make_failure(errc::draining, ""), 1.0);
        co_return;
    }
    const auto key = incoming.bearer_digest();
    const auto* owner = request.view->config == nullptr
                            ? nullptr
                            : request.view->config->organisation_by_key(key);
    if (owner == nullptr || !is_plain_path(incoming.path)) {
        co_await refuse(request, out, make_failure(errc::not_found, ""), 0.0);
        co_return;
    }
    request.owner = *owner;
    request.fingerprint = make_request_suspect(
        hash64(incoming.body, hash64(owner->id.value() + incoming.path)));
    if (incoming.path == "/v1/models") {
        co_await list_models(request, out);
        co_return;
    }
    std::optional<model_request> call;
    if (is_model_call(incoming))
        call.emplace(*this, request, out);
    const auto model_name = call ? call->model_name() : std::string();
    if (is_undecided(request, key, model_name)) {
        co_await refuse(request, out, make_failure(errc::undecided, ""), 2.0);
        co_return;
    }
    double wait_seconds = 0.0;
    if (auto error = admit(request, wait_seconds)) {
        co_await refuse(request, out, std::move(error), wait_seconds);
        co_return;
    }
    if (call) {
        co_await call->run();
    }
    else {
        service_request work(*this, request, out);
        co_await work.run();
    }
}

asio::awaitable<void> caller_front::list_models(const caller_request& request,
                                                http_responder& out)
{
    json::array list;
    for (const auto& model : request.view->config->models())
        if (model.owner == request.owner.id)
            list.push_back(json::object{{"id", model.name},
                                        {"object", "model"},
                                        {"owned_by", model.owner.value()}});
    for (const auto& adapter : request.view->config->adapters())
        if (adapter.owner == request.owner.id)
            list.push_back(json::object{{"id", adapter.name},
                                        {"object", "model"},
                                        {"parent", adapter.base_model.value()},
                                        {"owned_by", adapter.owner.value()}});
    const json::object body{{"object", "list"}, {"data", std::move(list)}};
    co_await out.send(json_answer(200, json::serialize(body)));
}

failure caller_front::admit(const caller_request& request, double& wait_seconds)
{
    const auto now = request.arrived;
    if (quarantine_.refused(request.fingerprint, now))
        return make_failure(errc::quarantined, "");
    auto& tokens = token_bucket_of(request.owner, now);
    auto& requests = request_bucket(request.owner, now);
    const auto wait =
        std::max(tokens.wait_for(0.0, now), requests.wait_for(1.0, now));
    if (wait > duration{0}) {
        wait_seconds =
            static_cast<double>(wait.count()) / milliseconds_per_second;
        return make_failure(errc::limit_reached, "");
    }
    requests.take(1.0, now);
    return {};
}

bool caller_front::is_undecided(const caller_request& request,
                                std::string_view key_digest,
                                std::string_view model) const
{
    const auto& view = *request.view;
    return view.undecided != nullptr &&
           !is_handled_alike(*view.config,
                             *view.undecided,
                             key_digest,
                             model,
                             request.incoming->path);
}

/// Each daemon grants an equal share of an organisation's limit.
token_bucket& caller_front::request_bucket(const organisation_entry& owner,
                                           time_point now)
{
    auto& bucket = request_buckets_[owner.id];
    const auto daemons = static_cast<double>(view_->live_daemon_count);
    bucket.set_rate(owner.requests_per_second / daemons, now);
    return bucket;
}

token_bucket& caller_front::token_bucket_of(const organisation_entry& owner,
                                            time_point now)
{
    auto& bucket = token_buckets_[owner.id];
    const auto daemons = static_cast<double>(view_->live_daemon_count);
    bucket.set_rate(owner.tokens_per_second / daemons, now);
    return bucket;
}

asio::awaitable<void> caller_front::refuse(const caller_request& request,
                                           http_responder& out,
                                           failure error,
                                           double retry_after_seconds)
{
    const auto kind = kind_of(error.code);
    context_.measures.count_outcome(kind);
    log_event(log_level::info, "request_refused")
        .with("request", request.request_id)
        .with("trace", request.trace.trace_id)
        .with("organisation", request.owner.id.value())
        .with("code", error_name(kind));
    auto answer = json_answer(http_status_of(kind),
                              error_body(error, request.request_id));
    if (retry_after_seconds > 0.0)
        answer.headers.emplace_back(
            "Retry-After",
            std::to_string(static_cast<int>(std::ceil(retry_after_seconds))));
    answer.headers.emplace_back("X-Request-Id", request.request_id);
    co_await out.send(std::move(answer));
}

std::shared_ptr<exchange> caller_front::start_exchange(exchange_request request)
{
    auto work = std::make_shared<exchange>(std::move(request),
                                           context_.backend.executor(),
                                           context_.caller.executor());
    const bool posted = context_.backend.try_post(
        [this, work] { context_.backend.spawn(backends_.run(work)); });
    return posted ? work : nullptr;
}

std::vector<replica_candidate>
caller_front::fill_candidates(const serving_view& view,
                              const std::vector<std::size_t>& servers,
                              time_point now) const
{
    std::vector<replica_candidate> candidates;
    candidates.reserve(servers.size());
    for (const auto index : servers) {
        const auto& server = (*view.servers)[index];
        replica_candidate candidate;
        candidate.server = server.entry.id;
        candidate.is_in_other_region =
            server.entry.region.value() != context_.settings.region;
        loads_.fill(candidate, now);
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

void caller_front::blame_crash(const server_id& server,
                               std::uint64_t boot,
                               time_point now)
{
    const auto crash = hash64(server.value(), boot);
    for (const auto& blame :
         quarantine_.on_crash(loads_.in_flight(server), crash, now))
    {
        log_event(log_level::warn, "request_blamed_for_crash")
            .with("server", server.value())
            .with("fingerprint", std::to_string(blame.fingerprint))
            .with("crashes",
                  static_cast<std::int64_t>(
                      quarantine_.crashes(blame.fingerprint)));
        if (announce_)
            announce_(blame);
    }
}

void caller_front::release_slot()
{
    const auto ticket = queue_.pop();
    if (!ticket)
        return;
    const auto found = waiting_.find(*ticket);
    if (found != waiting_.end())
        found->second->notify();
}

} // namespace barleyfork
