#ifndef BARLEYFORK_GATEWAY_SRC_QUARANTINE_ROW_CODEC_HPP
#define BARLEYFORK_GATEWAY_SRC_QUARANTINE_ROW_CODEC_HPP

#include <barleyfork/core/crash_quarantine.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace barleyfork {

/// The table of the rows below.
inline constexpr const char* quarantine_table = "barleyfork_quarantine";

/// Encodes the store row with the crashes attributed to one refused request.
/// Attributions to other requests in `blames` are skipped. `store_ms` is the
/// reading of the store's clock.
std::string encode_refusal(std::uint64_t fingerprint,
                           std::span<const reported_blame> blames,
                           std::int64_t store_ms);

/// Encodes the store row with the crashes that one daemon knows to be
/// attributed to requests that are not refused. The attributions to one request
/// follow each other in `blames`. `store_ms` is the reading of the store's
/// clock.
std::string encode_suspicions(std::span<const reported_blame> blames,
                              std::int64_t store_ms);

/// Decodes the attributions of a row of either kind; empty if the row has
/// another format.
std::vector<reported_blame> decode_blames(std::string_view text,
                                          std::int64_t store_ms);

} // namespace barleyfork

#endif
