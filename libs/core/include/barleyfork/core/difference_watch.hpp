#ifndef BARLEYFORK_CORE_DIFFERENCE_WATCH_HPP
#define BARLEYFORK_CORE_DIFFERENCE_WATCH_HPP

#include <barleyfork/base/time.hpp>

#include <cstdint>
#include <optional>

namespace barleyfork {

/// Decides when two daemons that should know the same compare what they know.
///
/// News is under way for a while, so only a difference that lasts is one. Not
/// thread-safe.
class difference_watch
{
public:
    /// News arrives within this, and a difference is told no more often.
    static constexpr duration patience{1000};

    /// Another daemon has `told` its digest; this one's is `own`. True where
    /// the two are to tell each other all they know now.
    bool hear(std::uint64_t told, std::uint64_t own, time_point now);

private:
    std::optional<time_point> differs_since_;
};

} // namespace barleyfork

#endif
