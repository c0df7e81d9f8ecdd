#include <barleyfork/core/version_catchup.hpp>

namespace barleyfork {

bool version_catchup::hear(std::uint64_t told,
                           std::uint64_t known,
                           time_point now)
{
    if (known != known_) {
        known_ = known;
        behind_since_.reset();
    }
    if (told <= known)
        return false;
    if (!behind_since_) {
        behind_since_ = now;
        return false;
    }
    if (now < *behind_since_ + patience)
        return false;
    behind_since_ = now;
    return true;
}

} // namespace barleyfork
