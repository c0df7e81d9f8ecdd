#ifndef BARLEYFORK_CORE_VERSION_CATCHUP_HPP
#define BARLEYFORK_CORE_VERSION_CATCHUP_HPP

#include <barleyfork/base/time.hpp>
#include <barleyfork/core/lasting_state.hpp>

#include <cstdint>

namespace barleyfork {

/// Decides when a daemon that reads the configuration for others asks
/// another daemon for it.
///
/// Its own call to the store waits long for a change and may hang on a
/// connection that has gone silent, while others already tell of a newer
/// version. Not thread-safe.
class version_catchup
{
public:
    /// The store's own answer is given this long.
    static constexpr duration patience{500};

    /// Another daemon has `told`; `known` is in force here. True where it is
    /// to be asked for its version now.
    bool hear(std::uint64_t told, std::uint64_t known, time_point now);

private:
    /// A version newer than the known one is told.
    lasting_state behind_{patience};
    std::uint64_t known_ = 0;
};

} // namespace barleyfork

#endif
