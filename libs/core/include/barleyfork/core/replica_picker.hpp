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

/// A replica that could take a request, with what is known of its load.
struct replica_candidate
{
    server_id server;
    /// Requests that this daemon has on it now.
    std::uint32_t own_outstanding = 0;
    /// Load carried on its last answer or report, in requests.
    std::uint32_t reported_outstanding = 0;
    /// When `reported_outstanding` was known to hold.
    time_point reported_at{};
    /// Smoothed time to first token that this daemon saw, in milliseconds.
    double first_token_ms = 0.0;
    /// True where it is in another region: its traffic is paid by volume.
    bool across_link = false;
    /// True where a suspicion is being tested; used only if nothing else is.
    bool suspect = false;
};

/// What a pick may take into account.
struct pick_request
{
    /// Digest of organisation and prompt prefix; 0 where there is none.
    std::uint64_t affinity_key = 0;
    /// A random number of 64 bits that is fresh for each pick.
    std::uint64_t random = 0;
};

/// Chooses among a model's replicas. Immutable, so safe to share.
class replica_picker
{
public:
    virtual ~replica_picker() = default;

    /// The index of the choice, or nothing where `candidates` is empty.
    virtual std::optional<std::size_t>
    pick(std::span<const replica_candidate> candidates,
         const pick_request& request,
         time_point now) const = 0;
};

/// Makes a strategy by its name in the settings: `power_of_two`, `random`
/// or `least_reported`; null for another name.
std::unique_ptr<replica_picker> make_replica_picker(std::string_view name);

} // namespace barleyfork

#endif
