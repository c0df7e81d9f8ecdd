#include "apply_coordinator.hpp"

#include "catalog_difference.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/core/admission.hpp>
#include <barleyfork/net/ask.hpp>
#include <barleyfork/schema/deployment_delta.hpp>
#include <barleyfork/schema/toml_reader.hpp>
#include <barleyfork/store/row_codec.hpp>

#include <boost/json.hpp>
#include <iomanip>
#include <sstream>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

constexpr std::int64_t confirm_poll_ms = 20;
constexpr duration in_force_timeout{11000};
constexpr int max_write_attempts = 5;
constexpr int history_digits = 12;

std::string join(const std::vector<std::string>& words)
{
    std::string text;
    for (const auto& word : words)
        text += (text.empty() ? "" : ", ") + word;
    return text;
}

std::string history_key(std::uint64_t revision)
{
    std::ostringstream key;
    key << history_prefix << std::setw(history_digits) << std::setfill('0')
        << revision;
    return key.str();
}

} // namespace

apply_coordinator::apply_coordinator(daemon_context& context,
                                     table_worker& table,
                                     control& decisions)
    : context_(context), table_(table), control_(decisions)
{
}

asio::awaitable<apply_result> apply_coordinator::apply(apply_request request)
{
    apply_result result;
    schema::deployment_record deployment;
    std::shared_ptr<const catalog> next;
    result.error = parse_deployment(request.toml, "declaration", deployment);
    if (!result.error)
        result.error = catalog::build(deployment, next);
    if (result.error)
        co_return result;
    auto stored = co_await read_head();
    result.error = stored.error;
    if (result.error)
        co_return result;
    result.revision = stored.head.revision;
    const auto in_force = co_await catalog_in_force();
    result.error = check_admission(in_force.get(), *next);
    result.differences = describe_differences(in_force.get(), *next);
    if (result.error || request.dry_run)
        co_return result;
    if (request.expected_revision &&
        *request.expected_revision != stored.head.revision)
    {
        result.error = make_failure(
            errc::conflict,
            "revision " + std::to_string(stored.head.revision) +
                " of operator " + stored.head.applied_by + " is accepted");
        co_return result;
    }
    const auto bytes = encode_deployment(deployment);
    const auto digest = content_digest(bytes);
    result.error = co_await table_.put_object(digest, bytes);
    if (!result.error)
        co_await write_delta(stored.head.digest, deployment, digest);
    if (!result.error)
        result.error =
            co_await stage_and_accept(request, digest, stored, result);
    if (!result.error && request.wait) {
        result.unconfirmed = co_await wait_for_confirmations(
            result.revision, true, in_force_timeout);
        result.in_force_everywhere = result.unconfirmed.empty();
    }
    co_return result;
}

asio::awaitable<failure>
apply_coordinator::stage_and_accept(const apply_request& request,
                                    const std::string& digest,
                                    stored_head stored,
                                    apply_result& result)
{
    auto staged = stage_next(stored.head,
                             digest,
                             context_.self.value(),
                             request.operator_name,
                             context_.next_id());
    if (!staged)
        co_return make_failure(
            errc::conflict,
            "revision " + std::to_string(stored.head.staged_revision) +
                " of operator " + stored.head.applied_by + " is being staged");
    const auto number = staged->staged_revision;
    if (auto error = co_await write_head(*staged, stored.version))
        co_return error;
    co_await publish_head(*staged);
    const duration timeout(context_.settings.controller->stage_timeout_ms);
    result.unconfirmed =
        co_await wait_for_confirmations(number, false, timeout);
    const bool confirmed = result.unconfirmed.empty();
    const auto decided = confirmed
                             ? accept_staged(*staged, context_.next_id())
                             : abandon_staged(*staged, context_.next_id());
    auto error = co_await write_head(*decided, stored.version);
    if (error)
        co_return error;
    co_await publish_head(*decided);
    log_event(log_level::info,
              confirmed ? "configuration_accepted" : "configuration_abandoned")
        .with("revision", static_cast<std::int64_t>(number))
        .with("operator", request.operator_name);
    if (!confirmed)
        co_return make_failure(errc::not_confirmed,
                               "no confirmation from " +
                                   join(result.unconfirmed));
    result.revision = number;
    co_await record_history(*decided);
    co_return failure{};
}

asio::awaitable<apply_coordinator::stored_head> apply_coordinator::read_head()
{
    stored_head result;
    const auto row = co_await table_.read(std::string(configuration_key));
    result.error = row.error;
    result.version = row.row.version;
    if (!result.error && row.row.version != 0)
        result.error = decode(row.row.value, result.head);
    co_return result;
}

asio::awaitable<std::shared_ptr<const catalog>>
apply_coordinator::catalog_in_force()
{
    using catalog_pointer = std::shared_ptr<const catalog>;
    const auto work = [this]() -> asio::awaitable<catalog_pointer> {
        co_return control_.configuration().state().in_force();
    };
    const auto answer = co_await ask<catalog_pointer>(context_.control, work);
    co_return answer.value_or(nullptr);
}

/// Writes the delta from the accepted body, which daemons read in place of the
/// complete body. Daemons read the complete body where no delta exists.
asio::awaitable<void>
apply_coordinator::write_delta(std::string base_digest,
                               const schema::deployment_record& next,
                               std::string digest)
{
    const auto work = [this, base_digest]() -> asio::awaitable<std::string> {
        co_return control_.configuration().body_bytes(base_digest);
    };
    const auto answer = co_await ask<std::string>(context_.control, work);
    const auto base = answer.value_or(std::string());
    schema::deployment_record deployment;
    if (base.empty() || decode_deployment(base, deployment))
        co_return;
    co_await table_.put_object(delta_object_name(base_digest, digest),
                               encode_delta(deployment, base_digest, next));
}

/// Returns the instances that have not confirmed a staged or accepted revision
/// number.
asio::awaitable<std::vector<std::string>>
apply_coordinator::find_unconfirmed(std::uint64_t number, bool accepted)
{
    using names = std::vector<std::string>;
    const auto work = [this, number, accepted]() -> asio::awaitable<names> {
        names result;
        const auto& confirmed = control_.configuration().confirmations();
        for (const auto& id : control_.required_confirmations()) {
            const auto found = confirmed.find(id);
            const bool is_confirmed =
                found != confirmed.end() &&
                (found->second.in_force >= number ||
                 (!accepted && found->second.staged >= number));
            if (!is_confirmed)
                result.push_back(id.value());
        }
        co_return result;
    };
    const auto answer = co_await ask<names>(context_.control, work);
    co_return answer.value_or(names{"the control duty"});
}

asio::awaitable<std::vector<std::string>>
apply_coordinator::wait_for_confirmations(std::uint64_t number,
                                          bool accepted,
                                          duration timeout)
{
    const auto deadline = steady_now() + timeout;
    auto names = co_await find_unconfirmed(number, accepted);
    while (!names.empty() && steady_now() < deadline) {
        co_await sleep_for_ms(confirm_poll_ms);
        names = co_await find_unconfirmed(number, accepted);
    }
    co_return names;
}

/// Writes the head. Retries while the outcome is unknown, because the outcome
/// must be known before it is announced.
asio::awaitable<failure> apply_coordinator::write_head(configuration_head next,
                                                       std::uint64_t& version)
{
    table_write write;
    for (int i = 0; i < max_write_attempts; ++i) {
        write = co_await table_.write(
            std::string(configuration_key), version, encode(next));
        if (write.outcome != write_outcome::unknown)
            break;
    }
    if (write.outcome == write_outcome::done) {
        version = write.version;
        co_return failure{};
    }
    if (write.outcome == write_outcome::unknown)
        co_return make_failure(errc::store_unavailable,
                               "outcome of the configuration write is unknown; "
                               "check with barleyfork status");
    const auto stored = co_await read_head();
    co_return make_failure(errc::conflict,
                           "operator " + stored.head.applied_by +
                               " changed the configuration first; revision " +
                               std::to_string(stored.head.revision) +
                               " is accepted");
}

asio::awaitable<void> apply_coordinator::publish_head(configuration_head head)
{
    const auto work = [this, head]() -> asio::awaitable<bool> {
        control_.apply_head(head);
        co_return true;
    };
    co_await ask<bool>(context_.control, work);
}

asio::awaitable<void>
apply_coordinator::record_history(const configuration_head& head)
{
    boost::json::object row;
    row["revision"] = head.revision;
    row["digest"] = head.digest;
    row["applied_by"] = head.applied_by;
    row["coordinator"] = head.coordinator;
    row["at_ms"] = wall_clock_ms();
    co_await table_.write(
        history_key(head.revision), 0, boost::json::serialize(row));
}

} // namespace barleyfork
