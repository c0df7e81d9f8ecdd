#ifndef BARLEYFORK_CORE_RELAY_CHOICE_HPP
#define BARLEYFORK_CORE_RELAY_CHOICE_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <span>

namespace barleyfork {

/// A daemon that could pass news on in its failure domain.
struct relay_candidate
{
    instance_id id;
    /// When it was heard last; the clock's zero where it never was.
    time_point heard_at{};
};

/// Picks the daemon that passes the placement's news on in another failure
/// domain. Daemons speak to the holder only once they hear it, so silence may
/// mean that the relay is dead: each message then goes to the next daemon in
/// turn until one is heard. Not thread-safe.
class relay_choice
{
public:
    /// A relay that was not heard for this long may be dead.
    static constexpr duration silence{1500};

    /// The place of the relay among `candidates`, which are all daemons of
    /// `domain` in the order of their ids; nothing where there is none.
    std::optional<std::size_t> pick(const failure_domain_id& domain,
                                    std::span<const relay_candidate> candidates,
                                    time_point now);

private:
    std::map<failure_domain_id, instance_id> last_;
};

} // namespace barleyfork

#endif
