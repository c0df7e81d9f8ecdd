#ifndef BARLEYFORK_CORE_TESTS_ENGINE_REPLAY_HPP
#define BARLEYFORK_CORE_TESTS_ENGINE_REPLAY_HPP

#include <barleyfork/core/backend_loads.hpp>
#include <barleyfork/core/prompt_interference.hpp>
#include <barleyfork/core/server_choice.hpp>

#include <functional>
#include <random>
#include <vector>

namespace barleyfork::testing {

/// One request of a replayed load.
struct replayed_request
{
    std::int64_t at_ms = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint32_t priority = 0;
    std::int64_t target_ms = 0;
    /// Result: time until the first event; -1 if there was none.
    std::int64_t first_event_ms = -1;
    std::size_t server = 0;
};

struct replay_options
{
    std::size_t daemons = 30;
    std::size_t servers = 8;
    /// Time between two updates of a daemon to the lease holder and back.
    std::int64_t news_interval_ms = 200;
    bool long_prompts_yield = true;
    /// Delay that a daemon assumes for work sent since the last update.
    double uncertainty_ms = 0.0;
    std::uint64_t seed = 1;
};

/// Sends a load through the decisions of many daemons with stale updates to
/// engines that read one prompt at a time, by urgency and then by arrival.
class engine_replay
{
public:
    explicit engine_replay(const replay_options& options);

    /// Fills in the results of `requests`, which are sorted by time.
    void run(std::vector<replayed_request>& requests);

private:
    struct read_job
    {
        std::size_t request = 0;
        std::size_t daemon = 0;
        load_ticket ticket{};
        std::uint32_t urgency = 0;
        double tokens_left = 0.0;
        std::int64_t sent_at_ms = 0;
        double expected_ms = 0.0;
        bool yields = false;
    };

    struct engine
    {
        server_id id;
        std::vector<read_job> queue;
    };

    void exchange_updates(std::int64_t now_ms);
    void send(std::vector<replayed_request>& requests,
              std::size_t index,
              std::int64_t now_ms);
    void read(engine& server,
              std::vector<replayed_request>& requests,
              std::int64_t now_ms);

    replay_options options_;
    std::mt19937_64 random_;
    std::vector<engine> engines_;
    std::vector<backend_loads> daemons_;
    std::vector<prompt_interference> interference_;
    backend_loads holder_;
};

/// Returns the share of the requests within their targets whose prompts have
/// `min_tokens` to `max_tokens`.
double share_in_target(const std::vector<replayed_request>& requests,
                       std::uint64_t min_tokens,
                       std::uint64_t max_tokens);

} // namespace barleyfork::testing

#endif
