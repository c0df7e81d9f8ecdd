#include <barleyfork/core/backend_loads.hpp>

#include <barleyfork/base/digest.hpp>

#include <algorithm>
#include <cmath>

namespace barleyfork {

namespace {

/// Half-life of a server's failure rate, in milliseconds.
constexpr double failure_half_life_ms = 3000.0;
/// Weight of a further request in the failure rate.
constexpr double failure_weight = 0.25;
/// Older updates of a peer are ignored.
constexpr duration peer_load_ttl{1000};

} // namespace

namespace {

std::size_t class_of(std::uint32_t priority) noexcept
{
    return std::min<std::size_t>(priority, waiting_tokens::classes - 1);
}

} // namespace

void waiting_tokens::add(std::uint32_t priority, std::uint64_t tokens) noexcept
{
    by_class[class_of(priority)] += tokens;
}

void waiting_tokens::remove(std::uint32_t priority,
                            std::uint64_t tokens) noexcept
{
    by_class[class_of(priority)] -= tokens;
}

std::uint64_t waiting_tokens::up_to(std::uint32_t priority) const noexcept
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i <= class_of(priority); ++i)
        sum += by_class[i];
    return sum;
}

waiting_tokens& waiting_tokens::operator+=(const waiting_tokens& other) noexcept
{
    for (std::size_t i = 0; i < classes; ++i)
        by_class[i] += other.by_class[i];
    return *this;
}

waiting_tokens& waiting_tokens::operator-=(const waiting_tokens& other) noexcept
{
    for (std::size_t i = 0; i < classes; ++i)
        by_class[i] -= std::min(by_class[i], other.by_class[i]);
    return *this;
}

std::uint32_t server_hash(const server_id& server) noexcept
{
    return static_cast<std::uint32_t>(hash64(server.value()));
}

load_ticket backend_loads::begin(const server_id& server,
                                 std::uint64_t prompt_tokens,
                                 std::uint32_t priority,
                                 time_point now,
                                 std::uint64_t output_tokens)
{
    const load_ticket ticket{next_ticket_++};
    auto& load = loads_[server];
    load.waiting.emplace(ticket, waiting_request{now, prompt_tokens, priority});
    load.tokens.add(priority, prompt_tokens);
    ++load.outstanding;
    const auto memory = prompt_tokens + output_tokens;
    load.memory.emplace(ticket, memory);
    load.memory_tokens += memory;
    return ticket;
}

void backend_loads::stop_waiting(server_load& load, load_ticket ticket)
{
    const auto found = load.waiting.find(ticket);
    if (found == load.waiting.end())
        return;
    load.tokens.remove(found->second.priority, found->second.tokens);
    load.waiting.erase(found);
}

void backend_loads::on_answer_started(const server_id& server,
                                      load_ticket ticket)
{
    const auto found = loads_.find(server);
    if (found != loads_.end())
        stop_waiting(found->second, ticket);
}

double backend_loads::decayed_failure_rate(const server_load& load,
                                           time_point now)
{
    const auto age = static_cast<double>((now - load.failure_rate_at).count());
    return load.failure_rate * std::exp2(-age / failure_half_life_ms);
}

void backend_loads::end(const server_id& server,
                        load_ticket ticket,
                        load_outcome end,
                        time_point now)
{
    const auto found = loads_.find(server);
    if (found == loads_.end())
        return;
    auto& load = found->second;
    stop_waiting(load, ticket);
    if (load.outstanding > 0)
        --load.outstanding;
    if (const auto held = load.memory.find(ticket); held != load.memory.end()) {
        load.memory_tokens -= held->second;
        load.memory.erase(held);
    }
    if (end == load_outcome::refused || end == load_outcome::unknown)
        return;
    const double sample = end == load_outcome::failed ? 1.0 : 0.0;
    const double before = decayed_failure_rate(load, now);
    load.failure_rate = before + failure_weight * (sample - before);
    load.failure_rate_at = now;
}

void backend_loads::reported(const server_id& server,
                             std::uint32_t running,
                             std::uint32_t waiting,
                             time_point now)
{
    auto& load = loads_[server];
    load.reported_running = running;
    load.reported_waiting = waiting;
    load.reported_at = now;
    load.reported = true;
}

void backend_loads::reported_slowness(const server_id& server,
                                      double slowness,
                                      time_point now)
{
    loads_[server].slowness.observe(slowness, now);
}

void backend_loads::on_peer_work(const instance_id& peer,
                                 std::span<const peer_work> work,
                                 time_point now)
{
    peer_load load;
    load.received_at = now;
    for (const auto& entry : work)
        load.work.emplace(entry.server, entry);
    peers_[peer] = std::move(load);
}

std::vector<peer_work> backend_loads::own_work() const
{
    std::vector<peer_work> work;
    for (const auto& [server, load] : loads_)
        if (load.outstanding > 0)
            work.push_back(
                {server_hash(server), load.outstanding, load.tokens});
    return work;
}

bool backend_loads::has_own_work(const server_id& server) const
{
    const auto found = loads_.find(server);
    return found != loads_.end() && found->second.outstanding > 0;
}

std::vector<peer_work> backend_loads::all_work(time_point now) const
{
    std::map<std::uint32_t, peer_work> sum;
    const auto add = [&sum](const peer_work& work) {
        auto& entry = sum[work.server];
        entry.server = work.server;
        entry.requests += work.requests;
        entry.tokens += work.tokens;
    };
    for (const auto& work : own_work())
        add(work);
    for (const auto& [peer, load] : peers_)
        if (now <= load.received_at + peer_load_ttl)
            for (const auto& [server, work] : load.work)
                add(work);
    std::vector<peer_work> all;
    all.reserve(sum.size());
    for (const auto& [server, work] : sum)
        all.push_back(work);
    return all;
}

std::vector<peer_work>
backend_loads::subtract_own_work(std::span<const peer_work> all) const
{
    std::vector<peer_work> others(all.begin(), all.end());
    std::map<std::uint32_t, peer_work> own;
    for (const auto& work : own_work())
        own.emplace(work.server, work);
    for (auto& work : others) {
        const auto found = own.find(work.server);
        if (found == own.end())
            continue;
        work.requests -= std::min(work.requests, found->second.requests);
        work.tokens -= found->second.tokens;
    }
    return others;
}

load_view backend_loads::view(const server_id& server,
                              std::uint32_t priority,
                              time_point now) const
{
    load_view view;
    waiting_tokens known_tokens;
    const auto hash = server_hash(server);
    for (const auto& [peer, load] : peers_) {
        const auto work = load.work.find(hash);
        if (now > load.received_at + peer_load_ttl || work == load.work.end())
            continue;
        view.peer_outstanding += work->second.requests;
        known_tokens += work->second.tokens;
    }
    view.peer_tokens = known_tokens.up_to(priority);
    const auto found = loads_.find(server);
    if (found == loads_.end())
        return view;
    const auto& load = found->second;
    view.own_waiting = static_cast<std::uint32_t>(load.waiting.size());
    view.own_outstanding = load.outstanding;
    for (const auto& [ticket, request] : load.waiting) {
        if (request.priority > priority)
            continue;
        view.own_waiting_tokens += request.tokens;
        view.oldest_wait = std::max(view.oldest_wait, now - request.sent_at);
    }
    known_tokens += load.tokens;
    if (known_tokens.all() > 0)
        view.urgent_share = static_cast<double>(known_tokens.up_to(priority)) /
                            static_cast<double>(known_tokens.all());
    view.reported_running = load.reported_running;
    view.reported_waiting = load.reported_waiting;
    view.report_age = now - load.reported_at;
    view.reported = load.reported;
    view.failure_rate = decayed_failure_rate(load, now);
    view.own_memory_tokens = load.memory_tokens;
    view.slowness = load.slowness.value(now);
    return view;
}

void backend_loads::forget(const server_id& server)
{
    loads_.erase(server);
}

} // namespace barleyfork
