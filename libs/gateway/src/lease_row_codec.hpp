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

/// Ages of the orders of a holder that releases the lease.
struct order_ages
{
    std::map<server_id, duration> last_order;
    std::vector<duration> store_loads;
};

/// The placement lease as stored.
struct stored_lease
{
    lease_row row;
    /// The holder's address. Another instance may have the same id later, so
    /// the id alone does not identify the holder.
    std::string holder_address;
    /// Upper bound of the store's clock when the row was sent, in milliseconds;
    /// 0 if unknown.
    std::int64_t sent_ms = 0;
    /// The era of the store in which the row was written; 0 if unknown. A row
    /// of an earlier era comes from a backup.
    std::uint64_t era = 0;
    /// Orders that still bind the next holder, if the writer knows them.
    std::optional<order_ages> orders;
};

std::string encode_lease(const stored_lease& stored);

/// Decodes a row. A row that is not a lease decodes as a free lease of epoch 0,
/// which the next conditional write replaces.
stored_lease decode_lease(std::string_view text);

} // namespace barleyfork

#endif
