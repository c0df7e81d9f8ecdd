#include "engine_replay.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace barleyfork::testing {

namespace {

constexpr double tokens_per_ms = 19.0;
constexpr double base_ms = 15.0;
constexpr std::int64_t drain_ms = 20000;
constexpr std::array<std::uint32_t, 2> priorities{0, 1};
/// Callers of the replayed loads stay for this multiple of the target.
constexpr std::int64_t patience_targets = 4;

time_point at(std::int64_t ms)
{
    return time_point(duration(ms));
}

engine_work work_of(const replayed_request& request, double uncertainty_ms)
{
    return {
        request.prompt_tokens, 1.0 / tokens_per_ms, base_ms, uncertainty_ms};
}

} // namespace

engine_replay::engine_replay(const replay_options& options)
    : options_(options), random_(options.seed), engines_(options.servers),
      daemons_(options.daemons), interference_(options.daemons)
{
    for (std::size_t i = 0; i < engines_.size(); ++i)
        engines_[i].id = server_id("s" + std::to_string(i));
}

void engine_replay::exchange_updates(std::int64_t now_ms)
{
    const auto interval = options_.news_interval_ms;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        const auto phase = static_cast<std::int64_t>(i) * interval /
                           static_cast<std::int64_t>(daemons_.size());
        if (now_ms % interval == phase)
            holder_.on_peer_work(instance_id("d" + std::to_string(i)),
                                 daemons_[i].own_work(),
                                 at(now_ms));
    }
    if (now_ms % interval != 0)
        return;
    const auto all = holder_.all_work(at(now_ms));
    for (auto& daemon : daemons_)
        daemon.on_peer_work(
            instance_id("all"), daemon.subtract_own_work(all), at(now_ms));
}

void engine_replay::send(std::vector<replayed_request>& requests,
                         std::size_t index,
                         std::int64_t now_ms)
{
    auto& request = requests[index];
    const auto d = random_() % daemons_.size();
    auto& daemon = daemons_[d];
    auto& interference = interference_[d];
    const auto work = work_of(request, options_.uncertainty_ms);
    const double read_ms =
        static_cast<double>(work.prompt_tokens) * work.ms_per_token;
    interference.observe_prompt(request.prompt_tokens);
    const bool is_long = options_.long_prompts_yield &&
                         interference.is_long(request.prompt_tokens,
                                              read_ms,
                                              duration(request.target_ms));
    std::vector<server_candidate> candidates(engines_.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].server = engines_[i].id;
        candidates[i].load = daemon.view(
            engines_[i].id, request.priority + (is_long ? 1 : 0), at(now_ms));
    }
    request.server = *choose_engine(candidates, work, random_());
    auto& server = engines_[request.server];
    read_job job;
    job.request = index;
    job.daemon = d;
    job.expected_ms = expected_first_event_ms(candidates[request.server], work);
    if (is_long) {
        auto in_turn = candidates[request.server];
        in_turn.load = daemon.view(server.id, request.priority, at(now_ms));
        prompt_prospects prospects;
        prospects.prompt_tokens = request.prompt_tokens;
        prospects.read_ms = read_ms;
        prospects.in_turn_ms = expected_first_event_ms(in_turn, work);
        prospects.yielding_ms = job.expected_ms;
        prospects.to_target = duration(request.target_ms);
        prospects.to_disconnect =
            duration(patience_targets * request.target_ms);
        job.yields =
            interference.decide(prospects, at(now_ms)) == prompt_order::yields;
    }
    job.ticket = daemon.begin(server.id,
                              request.prompt_tokens,
                              request.priority + (job.yields ? 1 : 0),
                              at(now_ms));
    job.urgency = engine_urgency(priorities,
                                 request.priority,
                                 job.yields ? prompt_order::yields
                                            : prompt_order::in_turn);
    job.tokens_left = static_cast<double>(request.prompt_tokens);
    job.sent_at_ms = now_ms;
    server.queue.push_back(job);
}

/// A prompt that has been begun is read to its end.
void engine_replay::read(engine& server,
                         std::vector<replayed_request>& requests,
                         std::int64_t now_ms)
{
    auto& queue = server.queue;
    double budget = tokens_per_ms;
    while (!queue.empty() && budget > 0.0) {
        auto& job = queue.front();
        const double part = std::min(budget, job.tokens_left);
        job.tokens_left -= part;
        budget -= part;
        if (job.tokens_left > 0.0)
            return;
        auto& daemon = daemons_[job.daemon];
        const auto waited_ms = now_ms - job.sent_at_ms + 1;
        requests[job.request].first_event_ms =
            waited_ms + static_cast<std::int64_t>(base_ms);
        if (job.yields)
            interference_[job.daemon].observe_yielded(
                job.expected_ms, static_cast<double>(waited_ms), at(now_ms));
        daemon.on_answer_started(server.id, job.ticket);
        daemon.end(server.id, job.ticket, load_outcome::good, at(now_ms));
        queue.erase(queue.begin());
        std::stable_sort(
            queue.begin(), queue.end(), [](const auto& a, const auto& b) {
                return a.urgency < b.urgency;
            });
    }
}

void engine_replay::run(std::vector<replayed_request>& requests)
{
    const auto end_ms =
        (requests.empty() ? 0 : requests.back().at_ms) + drain_ms;
    std::size_t next = 0;
    for (std::int64_t now_ms = 0; now_ms < end_ms; ++now_ms) {
        exchange_updates(now_ms);
        while (next < requests.size() && requests[next].at_ms <= now_ms)
            send(requests, next++, now_ms);
        for (auto& server : engines_)
            read(server, requests, now_ms);
    }
}

double share_in_target(const std::vector<replayed_request>& requests,
                       std::uint64_t min_tokens,
                       std::uint64_t max_tokens)
{
    double all = 0.0;
    double in_target = 0.0;
    for (const auto& request : requests) {
        if (request.prompt_tokens < min_tokens ||
            request.prompt_tokens > max_tokens)
            continue;
        ++all;
        if (request.first_event_ms >= 0 &&
            request.first_event_ms <= request.target_ms)
            ++in_target;
    }
    return all > 0.0 ? in_target / all : 1.0;
}

} // namespace barleyfork::testing
