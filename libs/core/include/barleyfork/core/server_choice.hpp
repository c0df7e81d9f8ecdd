#ifndef BARLEYFORK_CORE_SERVER_CHOICE_HPP
#define BARLEYFORK_CORE_SERVER_CHOICE_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/core/backend_loads.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace barleyfork {

/// How far a backend server is from this daemon.
enum class distance : std::uint8_t
{
    same_domain,
    same_region,
    other_region,
};

/// A backend server that could run a request.
struct server_candidate
{
    server_id server;
    load_view load;
    distance away = distance::same_domain;
    std::uint32_t slots = 1;
    /// This request was on the server before.
    bool tried = false;
    /// A connection to it is open and idle.
    bool connected = false;
};

/// What a request asks of an engine, and how fast engines are known to be.
struct engine_work
{
    std::uint64_t prompt_tokens = 0;
    double ms_per_token = 0.0;
    double base_ms = 0.0;
    /// Work that other daemons may have sent to a server unheard of; servers
    /// that differ by less are alike.
    double uncertainty_ms = 0.0;
};

/// Milliseconds until an engine would send the first event.
///
/// A queue shows in three ways: tokens that daemons know to be waiting, the
/// server's own count, and how long the oldest own request has waited.
double expected_first_event_ms(const server_candidate& candidate,
                               const engine_work& work);

/// Milliseconds until a plain service would answer; `service_ms` is what it
/// takes for one request.
double expected_answer_ms(const server_candidate& candidate, double service_ms);

/// The cheapest of the candidates: the expected time, the price of the way
/// and the record of failures. `draw` breaks ties among equals.
std::optional<std::size_t>
choose_engine(std::span<const server_candidate> candidates,
              const engine_work& work,
              std::uint64_t draw);

/// As `choose_engine`, for plain services.
std::optional<std::size_t>
choose_plain_server(std::span<const server_candidate> candidates,
                    double service_ms,
                    std::uint64_t draw);

} // namespace barleyfork

#endif
