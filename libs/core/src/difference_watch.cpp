#include <barleyfork/core/difference_watch.hpp>

namespace barleyfork {

bool difference_watch::hear(std::uint64_t told,
                            std::uint64_t own,
                            time_point now)
{
    if (told == own) {
        differs_since_.reset();
        return false;
    }
    if (!differs_since_)
        differs_since_ = now;
    if (now < *differs_since_ + patience)
        return false;
    differs_since_ = now;
    return true;
}

} // namespace barleyfork
