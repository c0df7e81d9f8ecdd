#ifndef BARLEYFORK_CORE_VERSION_CATCHUP_HPP
#define BARLEYFORK_CORE_VERSION_CATCHUP_HPP

#include <barleyfork/base/time.hpp>
#include <barleyfork/core/sustained_condition.hpp>

#include <cstdint>

namespace barleyfork {

/// Decides when a daemon that reads the configuration for others requests it
/// from another daemon.
///
/// The daemon's own call to the store waits long for a change and may hang on
/// an unresponsive connection, while others already announce a newer version.
/// Not thread-safe.
class version_catchup
{
public:
    /// Time that the store's own response is given to arrive.
    static constexpr duration store_grace_period{500};

    /// Processes the version that another daemon `announced`, while the version
    /// `known` is in force here. Returns true where that daemon must be asked
    /// for its version now.
    bool
    on_peer_state(std::uint64_t announced, std::uint64_t known, time_point now);

private:
    /// Whether an announced version is newer than the known one.
    sustained_condition behind_{store_grace_period};
    std::uint64_t known_ = 0;
};

} // namespace barleyfork

#endif
