#ifndef BARLEYFORK_TOOLS_CAPACITY_SIZED_DEPLOYMENT_HPP
#define BARLEYFORK_TOOLS_CAPACITY_SIZED_DEPLOYMENT_HPP

#include <barleyfork/schema/deployment_generated.h>

#include <cstddef>

namespace barleyfork {

/// Sizes of a generated declaration.
struct deployment_size
{
    std::size_t organisations = 100;
    std::size_t models = 510;
    std::size_t servers = 5800;
};

/// A declaration of a given size, spread over 4 regions and 15 domains.
schema::deployment_record make_deployment(const deployment_size& size);

} // namespace barleyfork

#endif
