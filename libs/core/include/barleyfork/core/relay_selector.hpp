#ifndef BARLEYFORK_CORE_RELAY_SELECTOR_HPP
#define BARLEYFORK_CORE_RELAY_SELECTOR_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <span>

namespace barleyfork {

/// A daemon that could relay updates in its failure domain.
struct relay_candidate
{
    instance_id id;
    /// When its last message arrived; the clock's zero where none has.
    time_point last_seen_at{};
};

/// Picks the daemon that relays the placement's updates in another failure
/// domain. Daemons send messages to the lease holder only once they receive
/// its own, so silence may mean that the relay is unresponsive: each message
/// is then sent to the next daemon in turn until one responds. Not
/// thread-safe.
class relay_selector
{
public:
    /// A relay that sent no message for this long may be unresponsive.
    static constexpr duration silence_timeout{1500};

    /// Returns the index of the relay among `candidates`, which are all daemons
    /// of `domain` in the order of their ids; nothing where there are none.
    std::optional<std::size_t> pick(const failure_domain_id& domain,
                                    std::span<const relay_candidate> candidates,
                                    time_point now);

private:
    std::map<failure_domain_id, instance_id> last_;
};

} // namespace barleyfork

#endif
