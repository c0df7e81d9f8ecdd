#ifndef BARLEYFORK_CORE_SERVER_CHOICE_HPP
#define BARLEYFORK_CORE_SERVER_CHOICE_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/core/backend_loads.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace barleyfork {

/// The distance of a backend server from this daemon.
enum class distance : std::uint8_t
{
    same_domain,
    same_region,
    other_region,
};

/// A backend server that is eligible for a request.
struct server_candidate
{
    server_id server;
    load_view load;
    distance away = distance::same_domain;
    std::uint32_t slots = 1;
    /// Tokens that the requests in flight on an engine can hold together; zero
    /// if unknown.
    std::uint64_t cache_tokens = 0;
    /// True if an earlier attempt of the request was sent to the server.
    bool tried = false;
    /// True if an idle connection to the server is open.
    bool connected = false;
};

/// The work of a request on an engine, and the estimated pace of engines.
struct engine_work
{
    std::uint64_t prompt_tokens = 0;
    double ms_per_token = 0.0;
    double base_ms = 0.0;
    /// Work that other daemons may have sent to a server since their last
    /// update; servers whose costs differ by less are treated as equal. Limited
    /// to a multiple of the usual queue: where nothing waits, nothing was sent.
    double uncertainty_ms = 0.0;
    /// Tokens that the request may hold in the memory of an engine, and those
    /// of a usual request.
    std::uint64_t memory_tokens = 0;
    double usual_memory_tokens = 0.0;
    /// Time that a usual request takes from its sending to its end, in
    /// milliseconds; zero if unknown.
    double usual_total_ms = 0.0;
};

/// Returns the expected time until an engine has a slot and memory for the
/// request, in milliseconds. Other daemons' requests are taken to be of usual
/// size.
double expected_admission_ms(const server_candidate& candidate,
                             const engine_work& work);

/// Returns the expected time until an engine sends the first event, in
/// milliseconds.
///
/// The queue is estimated from three sources: the waiting tokens that daemons
/// know of, the count that the server reports, and the time that the oldest
/// request of this daemon has waited.
double expected_first_event_ms(const server_candidate& candidate,
                               const engine_work& work);

/// Returns the expected time until a plain service responds, in milliseconds;
/// `service_ms` is its processing time for one request.
double expected_answer_ms(const server_candidate& candidate, double service_ms);

/// Returns the index of the cheapest candidate, or `std::nullopt` if there are
/// none. The cost is the sum of the expected time, the cost of the distance
/// and a penalty for failures. `draw` is a random number that breaks ties.
std::optional<std::size_t>
choose_engine(std::span<const server_candidate> candidates,
              const engine_work& work,
              std::uint64_t draw);

/// Like `choose_engine`, for plain services.
std::optional<std::size_t>
choose_plain_server(std::span<const server_candidate> candidates,
                    double service_ms,
                    std::uint64_t draw);

} // namespace barleyfork

#endif
