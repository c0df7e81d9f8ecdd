#ifndef BARLEYFORK_CORE_REPLICA_PICKER_HPP
#define BARLEYFORK_CORE_REPLICA_PICKER_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace barleyfork {

/// A replica that is eligible for a request, with its known load.
struct replica_candidate
{
    server_id server;
    /// Requests of this daemon in flight on the replica.
    std::uint32_t own_outstanding = 0;
    /// Load in the replica's last response or report, in requests.
    std::uint32_t reported_outstanding = 0;
    /// Time to which `reported_outstanding` refers.
    time_point reported_at{};
    /// Smoothed time to first token that this daemon observed, in milliseconds.
    double first_token_ms = 0.0;
    /// True if the replica is in another region; traffic to it is paid by
    /// volume.
    bool is_in_other_region = false;
    /// True if the replica is suspected to have failed; it is chosen only if no
    /// other is eligible.
    bool suspect = false;
};

/// Properties of a request that a picker may use.
struct pick_context
{
    /// Digest of organisation and prompt prefix; 0 if there is none.
    std::uint64_t affinity_key = 0;
    /// A 64-bit random number, new for each call of `pick`.
    std::uint64_t random = 0;
};

/// A strategy that chooses among a model's replicas. Immutable, so safe to
/// share between threads.
class replica_picker
{
public:
    virtual ~replica_picker() = default;

    /// Returns the index of the chosen candidate, or `std::nullopt` if
    /// `candidates` is empty.
    virtual std::optional<std::size_t>
    pick(std::span<const replica_candidate> candidates,
         const pick_context& request,
         time_point now) const = 0;
};

/// Creates the strategy with the given name in the settings: `power_of_two`,
/// `random` or `least_reported`. Returns null for any other name.
std::unique_ptr<replica_picker> make_replica_picker(std::string_view name);

} // namespace barleyfork

#endif
