#include <barleyfork/daemon/daemon.hpp>

#include "backend_client.hpp"
#include "caller_front.hpp"
#include "control.hpp"
#include "daemon_context.hpp"
#include "operator_front.hpp"
#include "table_worker.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/net/http_server.hpp>
#include <barleyfork/net/peer_link.hpp>

#include <array>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t max_operator_connections = 256;
constexpr std::uint32_t max_operator_body_bytes = 16 * 1024 * 1024;
constexpr std::int64_t drain_poll_ms = 20;
/// Time allowed for announcing the shutdown and releasing the leases before the
/// process exits.
constexpr duration shutdown_timeout{5000};

http_limits caller_limits(const schema::caller_settings_record& settings)
{
    http_limits limits;
    limits.max_connections = settings.max_connections;
    limits.max_body_bytes = settings.max_body_bytes;
    limits.max_header_bytes = settings.max_header_bytes;
    limits.header_timeout = duration(settings.header_timeout_ms);
    return limits;
}

http_limits operator_limits()
{
    http_limits limits;
    limits.max_connections = max_operator_connections;
    limits.max_body_bytes = max_operator_body_bytes;
    return limits;
}

/// A one-shot event that another thread waits for.
class completion
{
public:
    void set()
    {
        const std::lock_guard lock(mutex_);
        done_ = true;
        changed_.notify_all();
    }

    bool wait(duration timeout)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, timeout, [this] { return done_; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool done_ = false;
};

} // namespace

struct daemon::state
{
    explicit state(schema::daemon_settings_record settings)
        : context(std::move(settings)), backends(context)
    {
    }

    ~state()
    {
        const std::array<io_worker*, 7> duties{&context.caller,
                                               &context.operators,
                                               &context.peer,
                                               &context.control,
                                               &context.backend,
                                               &context.store,
                                               &context.traces.owner()};
        for (auto* worker : duties)
            worker->stop();
        for (auto* worker : duties)
            worker->discard();
    }

    failure open();
    void listen_peers();
    void spawn_loops();
    bool wait_for_requests(duration timeout);

    daemon_context context;
    backend_client backends;
    std::optional<table_worker> table;
    std::optional<caller_front> callers;
    std::optional<control> decisions;
    std::optional<peer_link> peers;
    std::optional<operator_front> operators;
    std::optional<http_server> caller_server;
    std::optional<http_server> operator_server;
    std::uint16_t caller_port = 0;
    std::uint16_t operator_port = 0;
    std::uint16_t peer_port = 0;
};

failure daemon::state::open()
{
    const auto& settings = context.settings;
    http_endpoint table_endpoint;
    http_endpoint object_endpoint;
    http_endpoint list_endpoint;
    const auto& platform = *settings.platform;
    if (auto error = parse_url(platform.table_url, table_endpoint))
        return error;
    if (auto error = parse_url(platform.object_url, object_endpoint))
        return error;
    if (auto error = parse_url(platform.instance_list_url, list_endpoint))
        return error;
    table.emplace(context, table_endpoint, object_endpoint);
    callers.emplace(context, backends, *table);
    listen_peers();
    decisions.emplace(context, *table, backends, *callers, peer_port);
    decisions->set_link(*peers);
    operators.emplace(context, *table, *decisions);
    callers->on_crash_attributed([this](const crash_blame& blame) {
        context.control.try_post(
            [this, blame] { decisions->on_crash_attributed(blame); });
    });
    caller_server.emplace(
        context.caller,
        caller_limits(*settings.caller),
        [this](const auto& in, auto& out) { return callers->handle(in, out); });
    operator_server.emplace(context.operators,
                            operator_limits(),
                            [this](const auto& in, auto& out) {
                                return operators->handle(in, out);
                            });
    caller_port = caller_server->listen(settings.caller_listen->address,
                                        settings.caller_listen->port);
    operator_port = operator_server->listen(settings.operator_listen->address,
                                            settings.operator_listen->port);
    if (caller_port == 0 || operator_port == 0 || peer_port == 0)
        return make_failure(errc::invalid_input,
                            "a listening address is in use or not of this "
                            "instance; see the log");
    return {};
}

void daemon::state::listen_peers()
{
    const auto& address = *context.settings.peer_listen;
    peers.emplace(context.peer,
                  address.address,
                  context.settings.peer->secret,
                  [this](schema::peer_message_record message) {
                      auto shared =
                          std::make_shared<schema::peer_message_record>(
                              std::move(message));
                      context.control.try_post(
                          [this, shared] { decisions->on_message(*shared); });
                  });
    peer_port = peers->listen(address.address, address.port);
}

void daemon::state::spawn_loops()
{
    context.control.spawn_duty([this] { return decisions->run_ticks(); });
    context.control.spawn_duty([this] { return decisions->poll_table(); });
    context.control.spawn_duty([this] { return decisions->poll_instances(); });
    context.control.spawn_duty([this] { return decisions->poll_reports(); });
}

bool daemon::state::wait_for_requests(duration timeout)
{
    const auto deadline = steady_now() + timeout;
    for (;;) {
        auto active = std::make_shared<std::size_t>(0);
        auto done = std::make_shared<completion>();
        const bool is_posted = context.caller.try_post([this, active, done] {
            *active = caller_server->active_requests();
            done->set();
        });
        if (is_posted && done->wait(timeout) && *active == 0)
            return true;
        if (steady_now() >= deadline)
            return false;
        std::this_thread::sleep_for(duration(drain_poll_ms));
    }
}

daemon::daemon(schema::daemon_settings_record settings)
    : state_(std::make_unique<state>(std::move(settings)))
{
}

daemon::~daemon() = default;

failure daemon::start()
{
    if (auto error = state_->open())
        return error;
    auto& context = state_->context;
    state_->spawn_loops();
    context.traces.start();
    context.store.start();
    context.backend.start();
    context.peer.start();
    context.control.start();
    context.operators.start();
    context.caller.start();
    log_event(log_level::info, "daemon_started")
        .with("caller_port", state_->caller_port)
        .with("operator_port", state_->operator_port)
        .with("peer_port", state_->peer_port);
    return {};
}

bool daemon::drain()
{
    auto& context = state_->context;
    const duration timeout(context.settings.caller->drain_timeout_ms);
    log_event(log_level::info, "drain_started")
        .with("bound_ms", timeout.count());
    context.draining = true;
    context.caller.try_post(
        [this] { state_->caller_server->stop_accepting(); });
    const bool is_complete = state_->wait_for_requests(timeout);
    auto has_shut_down = std::make_shared<completion>();
    context.control.spawn(
        [](control& decisions,
           std::shared_ptr<completion> done) -> asio::awaitable<void> {
            co_await decisions.shut_down();
            done->set();
        }(*state_->decisions, has_shut_down));
    has_shut_down->wait(shutdown_timeout);
    log_event(log_level::info, "drain_ended")
        .with("whole", is_complete ? "true" : "false");
    return is_complete;
}

void daemon::stall(std::chrono::milliseconds time)
{
    auto& context = state_->context;
    for (auto* worker : {&context.caller,
                         &context.backend,
                         &context.control,
                         &context.store,
                         &context.peer})
        worker->try_post([time] { std::this_thread::sleep_for(time); });
}

bool daemon::drain_asked() const noexcept
{
    return state_->context.drain_asked;
}

std::uint16_t daemon::caller_port() const noexcept
{
    return state_->caller_port;
}

std::uint16_t daemon::operator_port() const noexcept
{
    return state_->operator_port;
}

std::uint16_t daemon::peer_port() const noexcept
{
    return state_->peer_port;
}

} // namespace barleyfork
