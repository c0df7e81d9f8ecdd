#include "configuration_worker.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/core/configuration_digest.hpp>
#include <barleyfork/schema/deployment_delta.hpp>
#include <barleyfork/schema/toml_reader.hpp>

#include <algorithm>
#include <utility>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

constexpr duration confirm_interval{300};
constexpr duration confirm_period{3000};
constexpr duration fetch_interval{300};
/// A coordinator that decides nothing for this many stage timeouts is taken for
/// departed.
constexpr int overdue_factor = 3;

} // namespace

configuration_worker::configuration_worker(daemon_context& context,
                                           table_worker& table,
                                           membership& members,
                                           sender send)
    : context_(context), table_(table), members_(members),
      send_(std::move(send))
{
}

void configuration_worker::learn(const configuration_head& head, time_point now)
{
    const auto revision = state_.revision();
    if (!state_.learn(head, now))
        return;
    if (!state_.known().coordinator.empty())
        last_coordinator_ = state_.known().coordinator;
    members_.set_configuration(to_digest(state_.known()));
    for (auto& push : members_.push())
        send_(push.to, std::move(push.message));
    next_fetch_ = time_point{};
    fetch_bodies(now);
    if (state_.revision() != revision)
        record_own_state();
    changed_ = true;
}

void configuration_worker::on_message(
    const schema::peer_message_record& message, time_point now)
{
    using schema::message_kind;
    const instance_id from(message.sender->instance);
    if (message.kind == message_kind::body_request) {
        const auto found = bodies_.find(message.digest);
        if (found == bodies_.end())
            return;
        schema::peer_message_record answer;
        answer.kind = message_kind::body_answer;
        answer.digest = message.digest;
        answer.body.assign(found->second.begin(), found->second.end());
        send_(from, std::move(answer));
        return;
    }
    if (message.kind == message_kind::body_answer) {
        accept_body(message.digest,
                    std::string(message.body.begin(), message.body.end()));
        return;
    }
    if (!message.configuration)
        return;
    if (message.kind == message_kind::confirmation) {
        auto& entry = confirmations_[from];
        entry.staged = message.configuration->staged_revision;
        entry.in_force =
            std::max(entry.in_force, message.configuration->revision);
        return;
    }
    learn(to_head(*message.configuration), now);
}

void configuration_worker::tick(time_point now)
{
    fetch_bodies(now);
    if (state_.staged_revision() != 0)
        confirm_until_ = now + confirm_period;
    if (now < next_confirm_ || now >= confirm_until_)
        return;
    next_confirm_ = now + confirm_interval;
    confirm();
}

bool configuration_worker::is_stage_overdue(time_point now) const
{
    const duration max_undecided_time(
        context_.settings.controller->stage_timeout_ms * overdue_factor);
    return state_.known().staged_revision != 0 &&
           now >= state_.staged_at() + max_undecided_time;
}

void configuration_worker::fetch_bodies(time_point now)
{
    if (now < next_fetch_)
        return;
    next_fetch_ = now + fetch_interval;
    for (const auto& digest : state_.missing_bodies())
        if (fetching_.insert(digest).second)
            context_.control.spawn(fetch_body(digest));
}

/// Fetches the delta from the body in force here and returns the resulting
/// body; empty where the delta is not available or yields another digest. The
/// known head may name `digest` as accepted already.
asio::awaitable<std::string>
configuration_worker::fetch_delta(std::string digest)
{
    const auto base_digest = state_.digest_in_force();
    const auto base = body_bytes(base_digest);
    if (base.empty() || base_digest == digest)
        co_return std::string();
    const auto delta =
        co_await table_.get_unverified(delta_object_name(base_digest, digest));
    schema::deployment_record deployment;
    if (delta.empty() || decode_deployment(base, deployment) ||
        apply_delta(deployment, base_digest, delta))
        co_return std::string();
    const auto bytes = encode_deployment(deployment);
    co_return content_digest(bytes) == digest ? bytes : std::string();
}

std::string configuration_worker::body_bytes(const std::string& digest) const
{
    const auto found = bodies_.find(digest);
    return found == bodies_.end() ? std::string() : found->second;
}

/// Fetches a body from the object store, and requests it from a few peers where
/// the object store does not return it.
asio::awaitable<void> configuration_worker::fetch_body(std::string digest)
{
    auto bytes = co_await fetch_delta(digest);
    if (bytes.empty())
        bytes = co_await table_.get_object(digest);
    fetching_.erase(digest);
    if (!bytes.empty()) {
        accept_body(digest, bytes);
        co_return;
    }
    for (auto& push : members_.push()) {
        push.message.kind = schema::message_kind::body_request;
        push.message.digest = digest;
        send_(push.to, std::move(push.message));
    }
}

void configuration_worker::accept_body(const std::string& digest,
                                       const std::string& bytes)
{
    if (content_digest(bytes) != digest)
        return;
    schema::deployment_record deployment;
    std::shared_ptr<const catalog> body;
    auto error = decode_deployment(bytes, deployment);
    if (!error)
        error = catalog::build(deployment, body);
    if (error) {
        log_event(log_level::error, "configuration_body_refused")
            .with("digest", digest)
            .with("error", error.message());
        return;
    }
    const auto now = steady_now();
    state_.add_body(digest, std::move(body));
    bodies_[digest] = bytes;
    std::erase_if(bodies_, [this](const auto& entry) {
        return entry.first != state_.digest_in_force() &&
               entry.first != state_.known().digest &&
               entry.first != state_.known().staged_digest;
    });
    record_own_state();
    confirm_until_ = now + confirm_period;
    confirm();
    changed_ = true;
}

schema::configuration_digest_record configuration_worker::own_digest() const
{
    auto digest = to_digest(state_.known());
    digest.revision = state_.revision();
    digest.staged_revision = state_.staged_revision();
    return digest;
}

void configuration_worker::record_own_state()
{
    auto& own = confirmations_[context_.self];
    own.staged = state_.staged_revision();
    if (own.in_force == state_.revision())
        return;
    own.in_force = state_.revision();
    context_.measures.set_revision(own.in_force);
    confirm_until_ = steady_now() + confirm_period;
    next_confirm_ = time_point{};
    log_event(log_level::info, "configuration_in_force")
        .with("revision", static_cast<std::int64_t>(own.in_force));
}

void configuration_worker::confirm()
{
    record_own_state();
    if (last_coordinator_.empty() || last_coordinator_ == context_.self.value())
        return;
    schema::peer_message_record message;
    message.kind = schema::message_kind::confirmation;
    message.configuration =
        std::make_unique<schema::configuration_digest_record>(own_digest());
    send_(instance_id(last_coordinator_), std::move(message));
}

} // namespace barleyfork
