#include <barleyfork/gateway/gateway.hpp>

#include "caller_session.hpp"
#include "gateway_context.hpp"
#include "peer_updates.hpp"
#include "placement_worker.hpp"
#include "store_watch.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/net/http_server.hpp>
#include <barleyfork/net/sockets.hpp>
#include <barleyfork/schema/toml_reader.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <filesystem>
#include <future>
#include <optional>
#include <vector>

namespace barleyfork {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::int64_t accept_pause_ms = 20;
constexpr std::int64_t sweep_interval_ms = 500;
/// How often the settings file is checked for changes.
constexpr duration settings_check_interval{2000};
constexpr std::int64_t drain_poll_ms = 50;
/// File descriptors reserved for files, servers, peers and the store.
constexpr std::uint32_t reserved_descriptors = 600;

struct host_port
{
    std::string host;
    std::uint16_t port = 0;
};

std::optional<host_port> split_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    const auto port = std::strtoul(text.c_str() + colon + 1, nullptr, 10);
    constexpr unsigned long max_port = 65535;
    if (port == 0 || port > max_port)
        return std::nullopt;
    return host_port{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

failure make_address_error(const char* key, const std::string& value)
{
    return make_failure(errc::invalid_input,
                        std::string("key ") + key + ": given " + value +
                            ", allowed a free IP:PORT of this instance");
}

} // namespace

struct gateway::state
{
    state(schema::gateway_settings_record settings,
          std::string file,
          platform_port platform)
        : context(std::move(settings), std::move(platform)),
          settings_file(std::move(file)), watch(context),
          updates(context, watch), placement(context, watch, updates),
          acceptor(context.serving.executor()),
          signals(context.serving.executor(), SIGTERM, SIGINT, SIGHUP)
    {
    }

    failure listen();
    void spawn_loops();
    asio::awaitable<void> accept_loop();
    asio::awaitable<void> signal_loop();
    asio::awaitable<void> sweep_loop();
    asio::awaitable<void> drain();
    asio::awaitable<void> answer_ready(const http_incoming& request,
                                       http_responder& out);
    asio::awaitable<void> answer_metrics(const http_incoming& request,
                                         http_responder& out);
    void forget_closed_sessions();
    bool has_unsent_answers() const;
    void reload();
    void check_settings_file(time_point now);
    bool is_ready() const;

    gateway_context context;
    std::string settings_file;
    store_watch watch;
    peer_updates updates;
    placement_worker placement;
    tcp::acceptor acceptor;
    asio::signal_set signals;
    std::optional<http_server> ready_server;
    std::optional<http_server> metrics_server;
    std::vector<std::weak_ptr<caller_session>> sessions;
    std::filesystem::file_time_type settings_time{};
    time_point next_settings_check{};
    std::promise<bool> drain_result;
};

failure gateway::state::listen()
{
    const auto& settings = context.settings;
    const auto callers = split_address(settings.caller_address);
    if (!callers || !open_acceptor(acceptor, callers->host, callers->port))
        return make_address_error("caller_address", settings.caller_address);
    const auto ready = split_address(settings.ready_address);
    ready_server.emplace(
        context.serving, http_limits{}, [this](const auto& in, auto& out) {
            return answer_ready(in, out);
        });
    if (!ready || ready_server->listen(ready->host, ready->port) == 0)
        return make_address_error("ready_address", settings.ready_address);
    if (!updates.listen())
        return make_address_error("peer_port",
                                  std::to_string(settings.peer_port));
    if (settings.metrics_port == 0)
        return {};
    metrics_server.emplace(
        context.serving, http_limits{}, [this](const auto& in, auto& out) {
            return answer_metrics(in, out);
        });
    if (metrics_server->listen(settings.address, settings.metrics_port) == 0)
        return make_address_error("metrics_port",
                                  std::to_string(settings.metrics_port));
    return {};
}

void gateway::state::spawn_loops()
{
    updates.on_demand(
        [this](const auto& message) { placement.on_demand(message); });
    context.on_adapter_needed = [this] {
        updates.send_demand();
    };
    context.crashes.on_process_crashed(
        [this](const auto& server, const auto& ended) {
            updates.on_server_crashed(server, ended);
        });
    context.crashes.on_answer_confirmed([this](const auto& request) {
        context.clear_suspects(request, steady_now());
    });
    context.on_blamed_part_answered = [this] {
        updates.on_blamed_part_answered();
    };
    watch.on_configuration([this] { updates.relay_configuration(); });
    context.on_store_restored = [this] {
        updates.on_store_restored();
    };
    auto& worker = context.serving;
    worker.spawn_duty([this] { return accept_loop(); });
    worker.spawn_duty([this] { return signal_loop(); });
    worker.spawn_duty([this] { return sweep_loop(); });
    worker.spawn_duty([this] { return watch.follow_configuration(); });
    worker.spawn_duty([this] { return watch.check_configuration(); });
    worker.spawn_duty([this] { return watch.follow_servers(); });
    worker.spawn_duty([this] { return updates.follow_members(); });
    worker.spawn_duty([this] { return updates.follow_refusals(); });
    worker.spawn_duty([this] { return updates.run(); });
    worker.spawn_duty([this] { return updates.report_to_neighbours(); });
    worker.spawn_duty([this] { return placement.run(); });
}

asio::awaitable<void> gateway::state::accept_loop()
{
    const auto max_sessions =
        context.settings.max_descriptors > reserved_descriptors
            ? context.settings.max_descriptors - reserved_descriptors
            : context.settings.max_descriptors / 2;
    for (;;) {
        auto [error, socket] = co_await acceptor.async_accept(as_result);
        if (error == asio::error::operation_aborted)
            co_return;
        if (sessions.size() >= max_sessions)
            forget_closed_sessions();
        if (error || sessions.size() >= max_sessions) {
            log_event(log_level::warn, "connection_refused")
                .with("open", static_cast<std::int64_t>(sessions.size()))
                .with("error",
                      error ? error.message() : "too many open connections");
            co_await sleep_for_ms(accept_pause_ms);
            continue;
        }
        auto session =
            std::make_shared<caller_session>(context, std::move(socket));
        sessions.push_back(session);
        session->start();
    }
}

asio::awaitable<void> gateway::state::signal_loop()
{
    for (;;) {
        auto [error, signal] = co_await signals.async_wait(as_result);
        if (error)
            co_return;
        if (signal == SIGHUP) {
            reload();
            continue;
        }
        co_await drain();
        co_return;
    }
}

asio::awaitable<void> gateway::state::sweep_loop()
{
    for (;;) {
        co_await sleep_for_ms(sweep_interval_ms);
        const auto now = steady_now();
        context.pool.close_expiring(now);
        context.quarantine.expire(now);
        context.limits.expire(now, [this](const auto& process) {
            const auto* known = context.directory.find(process.server);
            return known != nullptr &&
                   known->entry.held.started_ms == process.started_ms;
        });
        forget_closed_sessions();
        check_settings_file(now);
    }
}

void gateway::state::forget_closed_sessions()
{
    std::erase_if(sessions, [](const auto& entry) {
        const auto session = entry.lock();
        return !session || session->is_closed();
    });
}

void gateway::state::check_settings_file(time_point now)
{
    if (now < next_settings_check)
        return;
    next_settings_check = now + settings_check_interval;
    std::error_code error;
    const auto time = std::filesystem::last_write_time(settings_file, error);
    if (error)
        return;
    const bool is_changed = settings_time != time;
    const bool is_first_check =
        settings_time == std::filesystem::file_time_type{};
    settings_time = time;
    if (is_changed && !is_first_check)
        reload();
}

/// Applies the bounds and the placement settings of the changed file.
/// Addresses take effect only after a restart.
void gateway::state::reload()
{
    std::string text;
    schema::gateway_settings_record reloaded;
    auto error = read_file(settings_file, text);
    if (!error)
        error = parse_gateway_settings(text, settings_file, reloaded);
    if (error) {
        log_event(log_level::error, "settings_refused")
            .with("error", error.message());
        return;
    }
    context.settings.bounds = std::move(reloaded.bounds);
    context.settings.placement = std::move(reloaded.placement);
    context.update_quotas();
    log_event(log_level::info, "settings_reloaded").with("file", settings_file);
}

bool gateway::state::is_ready() const
{
    return !context.drain.draining() && context.configuration != nullptr &&
           context.has_server_list && !context.refuses_keys();
}

asio::awaitable<void> gateway::state::answer_ready(const http_incoming& request,
                                                   http_responder& out)
{
    http_outgoing answer;
    const bool is_known_path = request.path == context.platform.readiness_path;
    answer.status = !is_known_path ? 404 : is_ready() ? 200 : 503;
    answer.body = is_ready() ? R"({"ready":true})" : R"({"ready":false})";
    co_await out.send(std::move(answer));
}

asio::awaitable<void> gateway::state::answer_metrics(const http_incoming&,
                                                     http_responder& out)
{
    http_outgoing answer;
    answer.content_type = "text/plain; version=0.0.4";
    const auto now = steady_now();
    context.measures.set_ages(now - context.configuration_known_at,
                              now - watch.list_known_at(),
                              context.confirmed_age());
    answer.body = context.measures.to_prometheus() + context.quotas.metrics();
    co_await out.send(std::move(answer));
}

/// Returns whether answers of ended calls are still being written to callers.
bool gateway::state::has_unsent_answers() const
{
    return std::any_of(sessions.begin(), sessions.end(), [](const auto& entry) {
        const auto session = entry.lock();
        return session && !session->is_closed() && session->unsent_bytes() > 0;
    });
}

/// Reports "not ready" at once, serves new requests until the load balancer has
/// noticed, and ends when no call runs and all answers are written, or the
/// drain time has elapsed.
asio::awaitable<void> gateway::state::drain()
{
    const auto started_at = steady_now();
    context.drain =
        drain_plan(started_at, seconds(context.settings.bounds->grace_s));
    log_event(log_level::info, "drain_started")
        .with("active", static_cast<std::int64_t>(context.active_calls.size()));
    context.serving.spawn(placement.release());
    bool idle_closed = false;
    while (steady_now() < context.drain.exits_at()) {
        co_await sleep_for_ms(drain_poll_ms);
        const bool has_left_rotation =
            context.drain.has_left_rotation(steady_now());
        if (has_left_rotation && !idle_closed) {
            idle_closed = true;
            for (const auto& entry : sessions)
                if (const auto session = entry.lock())
                    session->drain();
        }
        if (!has_left_rotation || !context.active_calls.empty() ||
            has_unsent_answers())
            continue;
        if (context.drain.closed())
            break;
        context.drain.close();
    }
    context.drain.close();
    const auto active = context.active_calls.size();
    context.end_calls();
    const bool is_whole = context.active_calls.empty() && !has_unsent_answers();
    log_event(log_level::info, "drain_ended")
        .with("whole", is_whole ? "true" : "false")
        .with("active", static_cast<std::int64_t>(active))
        .with("took_ms", (steady_now() - started_at).count());
    // Lets pending responses be written before the process exits.
    co_await sleep_for_ms(drain_poll_ms);
    drain_result.set_value(is_whole);
}

gateway::gateway(schema::gateway_settings_record settings,
                 std::string settings_file,
                 platform_port platform)
    : state_(std::make_unique<state>(
          std::move(settings), std::move(settings_file), std::move(platform)))
{
}

gateway::~gateway()
{
    state_->context.serving.stop();
    state_->context.serving.discard();
}

failure gateway::start()
{
    if (auto error = state_->listen())
        return error;
    log_event(log_level::info, "gateway_started")
        .with("instance", state_->context.self.value())
        .with("callers", state_->context.settings.caller_address);
    state_->spawn_loops();
    state_->context.serving.start();
    return {};
}

bool gateway::wait()
{
    return state_->drain_result.get_future().get();
}

} // namespace barleyfork
