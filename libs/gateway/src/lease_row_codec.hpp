#ifndef BARLEYFORK_GATEWAY_SRC_LEASE_ROW_CODEC_HPP
#define BARLEYFORK_GATEWAY_SRC_LEASE_ROW_CODEC_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/core/lease.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace barleyfork {

/// Orders of a holder that lets go, by how long ago they were given.
struct order_ages
{
    std::map<server_id, duration> last_order;
    std::vector<duration> store_loads;
};

/// The placement's lease as it lies in the store.
struct stored_lease
{
    lease_row row;
    /// The holder's address; another instance may bear its name later.
    std::string holder_address;
    /// No later than this on the store's clock was it sent; 0 where unknown.
    std::int64_t sent_ms = 0;
    /// Told by a holder that lets go.
    std::optional<order_ages> orders;
};

std::string encode_lease(const stored_lease& stored);

/// Fails softly: a row that is not a lease counts as a free one of epoch 0,
/// and the conditional write replaces it.
stored_lease decode_lease(std::string_view text);

} // namespace barleyfork

#endif
