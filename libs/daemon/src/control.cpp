#include "control.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/net/ask.hpp>
#include <barleyfork/store/row_codec.hpp>

#include <algorithm>
#include <pcg_random.hpp>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

constexpr std::int64_t tick_ms = 50;
constexpr duration demand_interval{1000};
constexpr duration undecided_grace_period{3000};
/// After building a view, the worker builds none for this many times the build
/// time.
constexpr std::int64_t publish_rest_factor = 100;
/// Limit of the factor by which the poll interval of an unreachable service
/// grows.
constexpr std::int64_t max_backoff_factor = 8;
/// Daemons without a cell poll engines at the configured rate divided by this.
constexpr double reduced_rate_divisor = 5.0;
/// A report counts as fresh for this many poll cycles, and for at least
/// `min_freshness`.
constexpr std::int64_t freshness_cycles = 3;
constexpr duration min_freshness{4000};
constexpr double milliseconds_per_second = 1000.0;

listed_instance make_self(const schema::daemon_settings_record& settings,
                          std::uint16_t peer_port)
{
    listed_instance self;
    self.id = instance_id(settings.instance);
    self.address = settings.peer_listen->address;
    self.port = peer_port;
    self.region = region_id(settings.region);
    self.failure_domain = failure_domain_id(settings.failure_domain);
    return self;
}

membership_options
make_membership_options(const schema::peer_settings_record& settings)
{
    membership_options options;
    options.probe_interval = duration(settings.probe_interval_ms);
    options.probe_timeout = duration(settings.probe_timeout_ms);
    options.suspicion = duration(settings.suspicion_ms);
    return options;
}

/// Returns the delay to the next poll in milliseconds. The delay is randomised,
/// so that the polls of many daemons spread, and grows with consecutive
/// failures.
std::int64_t make_poll_delay(std::int64_t interval, int failures, pcg32& random)
{
    const auto factor =
        std::min<std::int64_t>(max_backoff_factor, std::int64_t{1} << failures);
    const auto base = interval * factor;
    return base * 3 / 4 + static_cast<std::int64_t>(
                              random(static_cast<std::uint32_t>(base / 2 + 1)));
}

} // namespace

control::control(daemon_context& context,
                 table_worker& table,
                 backend_client& backends,
                 caller_front& callers,
                 std::uint16_t peer_port)
    : context_(context), table_(table), backends_(backends), callers_(callers),
      members_(make_self(context.settings, peer_port),
               static_cast<std::uint64_t>(wall_clock_ms()),
               make_membership_options(*context.settings.peer),
               hash64(context.run_id)),
      configuration_(context,
                     table,
                     members_,
                     [this](const auto& to, auto message) {
                         send(to, std::move(message));
                     }),
      placement_(context, table, backends, members_, reports_)
{
    parse_url(context.settings.platform->instance_list_url, list_endpoint_);
}

asio::awaitable<void> control::run_ticks()
{
    for (;;) {
        tick(steady_now());
        co_await sleep_for_ms(tick_ms);
    }
}

void control::tick(time_point now)
{
    for (auto& out : members_.tick(now))
        send(out.to, std::move(out.message), out.fresh_connection);
    configuration_.tick(now);
    abandon_overdue(now);
    exchange_demand(now);
    const auto& state = configuration_.state();
    if (state.in_force() && state.revision() != placed_revision_) {
        placed_revision_ = state.revision();
        placement_.set_catalog(state.in_force());
        is_view_stale_ = true;
    }
    placement_.tick(now);
    const bool undecided = state.undecided(now, undecided_grace_period);
    is_view_stale_ |=
        configuration_.take_changed() || undecided != was_undecided_ ||
        reports_.mark_expired(now) || members_.live_count() != live_count_;
    was_undecided_ = undecided;
    live_count_ = members_.live_count();
    if (is_view_stale_ && now >= next_publish_)
        publish(steady_now());
}

asio::awaitable<void> control::poll_table()
{
    pcg32 random(hash64(context_.run_id, 1));
    const auto interval = context_.settings.platform->poll_interval_ms;
    int failures = 0;
    for (;;) {
        const auto scan =
            co_await table_.scan(std::string(control_prefix), table_version_);
        const auto now = steady_now();
        failures = scan.error ? std::min(failures + 1, 10) : 0;
        if (scan.error) {
            log_event(log_level::warn, "table_unreachable")
                .with("error", scan.error.message());
        }
        else {
            table_version_ = scan.version;
            placement_.on_table_polled();
            for (const auto& row : scan.rows) {
                configuration_head head;
                if (row.key == configuration_key && !decode(row.value, head))
                    configuration_.learn(head, now);
                placement_.on_row(row, now);
            }
            is_view_stale_ |= !scan.rows.empty();
        }
        co_await sleep_for_ms(make_poll_delay(interval, failures, random));
    }
}

asio::awaitable<void> control::poll_instances()
{
    pcg32 random(hash64(context_.run_id, 2));
    const auto& platform = *context_.settings.platform;
    std::string etag;
    int failures = 0;
    for (;;) {
        http_call call;
        call.target = "/instances";
        call.timeout = duration(platform.request_timeout_ms);
        if (!etag.empty())
            call.headers.emplace_back("If-None-Match", etag);
        const auto work = [this, call] {
            return list_client_.call(list_endpoint_, call);
        };
        const auto reply = co_await ask<http_reply>(context_.store, work);
        std::vector<listed_instance> list;
        const bool answered = reply && !reply->error;
        if (answered && reply->status == 200 && !decode(reply->body, list)) {
            etag = reply->etag;
            apply_instance_list(list);
        }
        failures = answered ? 0 : std::min(failures + 1, 10);
        co_await sleep_for_ms(make_poll_delay(
            platform.instance_list_interval_ms, failures, random));
    }
}

void control::apply_instance_list(const std::vector<listed_instance>& list)
{
    std::vector<listed_instance> daemons;
    leaving_servers_.clear();
    for (const auto& entry : list) {
        if (!entry.is_backend_server)
            daemons.push_back(entry);
        else if (entry.leaving)
            leaving_servers_.insert(server_id(entry.id.value()));
    }
    const auto gone = members_.set_listed(daemons);
    for (const auto& id : gone) {
        removed_instances_.insert(id);
        log_event(log_level::info, "instance_gone").with("peer", id.value());
    }
    placement_.on_instances_removed(gone);
    is_view_stale_ = true;
}

/// Returns the engines to poll and the polls per second. A lease holder polls
/// the engines of its cells at the full rate. Other daemons poll at a reduced
/// rate, for state that the ledger cannot provide while the table is
/// unreachable, and at the full rate until they know a ledger row.
control::poll_plan control::plan_polls(time_point now) const
{
    poll_plan plan;
    const double rate = context_.settings.routing->report_polls_per_second;
    plan.servers = placement_.leased_servers(now);
    plan.per_second = rate;
    if (!plan.servers.empty())
        return plan;
    const auto config = configuration_.state().in_force();
    if (!config)
        return plan;
    for (const auto& server : config->servers())
        if (server.service.empty())
            plan.servers.push_back(server.id);
    if (!placement_.rows().empty())
        plan.per_second = std::max(1.0, rate / reduced_rate_divisor);
    return plan;
}

asio::awaitable<void> control::poll_reports()
{
    std::size_t next = 0;
    for (;;) {
        const auto plan = plan_polls(steady_now());
        const auto pause = static_cast<std::int64_t>(milliseconds_per_second /
                                                     plan.per_second);
        if (!plan.servers.empty()) {
            const auto cycle =
                pause * static_cast<std::int64_t>(plan.servers.size());
            reports_.set_freshness_period(
                std::max(min_freshness, duration(freshness_cycles * cycle)));
            start_poll(plan.servers[next++ % plan.servers.size()]);
        }
        co_await sleep_for_ms(std::max<std::int64_t>(1, pause));
    }
}

void control::start_poll(const server_id& server)
{
    const auto config = configuration_.state().in_force();
    const auto* declared = config ? config->find_server(server) : nullptr;
    http_endpoint endpoint;
    if (declared == nullptr || parse_url(declared->url, endpoint) ||
        !polling_.insert(server).second)
        return;
    context_.control.spawn(poll_server(server, endpoint));
}

asio::awaitable<void> control::poll_server(server_id server,
                                           http_endpoint endpoint)
{
    const auto work = [this, endpoint] {
        return backends_.report(endpoint);
    };
    const auto answer =
        co_await ask<std::optional<engine_status>>(context_.backend, work);
    polling_.erase(server);
    if (!answer || !*answer)
        co_return;
    const auto& status = **answer;
    is_view_stale_ |= reports_.add(server, status, steady_now());
    placement_.on_report(server, status);
    context_.caller.try_post([this, server, load = status.outstanding] {
        callers_.record_reported_load(server, load);
    });
}

void control::on_message(const schema::peer_message_record& message)
{
    const auto now = steady_now();
    if (!message.sender)
        return;
    const instance_id from(message.sender->instance);
    if (auto answer = members_.receive(message, now))
        send(answer->to, std::move(answer->message));
    for (const auto& entry : message.quarantine)
        is_view_stale_ |=
            quarantine_.insert({entry->fingerprint, entry->crash}).second;
    if (message.kind == schema::message_kind::demand) {
        std::map<model_id, double> demand;
        for (const auto& entry : message.demand)
            demand[model_id(entry->model)] = entry->work;
        placement_.on_demand(from, demand, now);
        return;
    }
    configuration_.on_message(message, now);
}

void control::on_crash_attributed(const crash_blame& blame)
{
    quarantine_.insert(blame);
    members_.add_quarantine(blame);
    for (auto& out : members_.push())
        send(out.to, std::move(out.message));
}

void control::apply_head(const configuration_head& head)
{
    configuration_.learn(head, steady_now());
}

asio::awaitable<void> control::shut_down()
{
    members_.announce_shutdown();
    for (auto& out : members_.push())
        send(out.to, std::move(out.message));
    co_await placement_.release();
}

std::vector<instance_id> control::required_confirmations() const
{
    std::vector<instance_id> required{context_.self};
    for (const auto* member : members_.listed())
        if (!member->place.leaving)
            required.push_back(member->place.id);
    return required;
}

void control::send(const instance_id& to,
                   schema::peer_message_record message,
                   bool fresh_connection)
{
    const auto* member = members_.find(to);
    if (member == nullptr || link_ == nullptr)
        return;
    if (!message.sender) {
        message.sender = std::make_unique<schema::member_record>();
        message.sender->instance = context_.self.value();
        message.sender->incarnation = members_.incarnation();
        message.sender->state = context_.draining
                                    ? schema::member_state::leaving
                                    : schema::member_state::alive;
    }
    link_->send(
        {member->place.address, member->place.port}, message, fresh_connection);
}

/// Sends the demand of this daemon's callers to the lease holders.
void control::exchange_demand(time_point now)
{
    if (now < next_demand_)
        return;
    const auto elapsed = static_cast<double>((now - last_demand_).count()) /
                         milliseconds_per_second;
    next_demand_ = now + demand_interval;
    last_demand_ = now;
    context_.caller.try_post([this, elapsed] {
        auto demand = callers_.take_demand();
        for (auto& [model, work] : demand)
            work /= elapsed;
        context_.control.try_post([this, demand = std::move(demand)] {
            placement_.on_demand(context_.self, demand, steady_now());
            std::set<instance_id> notified{context_.self};
            for (const auto& holder : placement_.holders()) {
                if (holder.empty() || !notified.insert(holder).second)
                    continue;
                schema::peer_message_record message;
                message.kind = schema::message_kind::demand;
                for (const auto& [model, work] : demand) {
                    auto entry =
                        std::make_unique<schema::model_demand_record>();
                    entry->model = model.value();
                    entry->work = static_cast<float>(work);
                    message.demand.push_back(std::move(entry));
                }
                send(holder, std::move(message));
            }
        });
    });
}

void control::abandon_overdue(time_point now)
{
    if (is_abandoning_ || !configuration_.is_stage_overdue(now))
        return;
    is_abandoning_ = true;
    context_.control.spawn(abandon_staged_revision());
}

/// Abandons a staged revision whose coordinator has departed. Any daemon may do
/// so, because the conditional write lets exactly one decision succeed.
asio::awaitable<void> control::abandon_staged_revision()
{
    const auto stored = co_await table_.read(std::string(configuration_key));
    configuration_head head;
    if (!stored.error && !decode(stored.row.value, head)) {
        const auto next = abandon_staged(head, context_.next_id());
        const bool is_same_revision =
            head.staged_revision ==
            configuration_.state().known().staged_revision;
        if (next && is_same_revision) {
            const auto write =
                co_await table_.write(std::string(configuration_key),
                                      stored.row.version,
                                      encode(*next));
            if (write.outcome == write_outcome::done) {
                head = *next;
                log_event(log_level::warn, "staged_revision_abandoned")
                    .with("revision", static_cast<std::int64_t>(next->decided));
            }
        }
        configuration_.learn(head, steady_now());
    }
    is_abandoning_ = false;
}

/// Publishes the serving view. Large views are built less often, so that they
/// take a small, bounded part of the worker's time.
void control::publish(time_point now)
{
    is_view_stale_ = false;
    std::shared_ptr<const serving_view> view = build_view(now);
    const bool is_posted =
        context_.caller.try_post([this, view] { callers_.set_view(view); });
    // Where the ring is full, the next tick retries.
    is_view_stale_ = !is_posted;
    next_publish_ = now + publish_rest_factor * (steady_now() - now);
}

std::shared_ptr<serving_view> control::build_view(time_point now)
{
    auto view = std::make_shared<serving_view>();
    const auto& state = configuration_.state();
    view->revision = state.revision();
    view->config = state.in_force();
    view->live_daemon_count = members_.live_count();
    view->gone = removed_instances_;
    view->quarantine.assign(quarantine_.begin(), quarantine_.end());
    if (state.undecided(now, undecided_grace_period))
        view->undecided = state.staged();
    if (view->config) {
        builder_.set_catalog(view->config);
        builder_.fill(
            *view, {placement_.rows(), reports_, leaving_servers_}, now);
    }
    return view;
}

} // namespace barleyfork
