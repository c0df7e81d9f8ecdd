#include <barleyfork/core/version_catchup.hpp>

namespace barleyfork {

bool version_catchup::on_peer_state(std::uint64_t announced,
                                    std::uint64_t known,
                                    time_point now)
{
    if (known != known_) {
        known_ = known;
        behind_.ends();
    }
    return announced > known && behind_.holds(now);
}

} // namespace barleyfork
