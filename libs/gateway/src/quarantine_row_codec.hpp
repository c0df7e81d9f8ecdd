#ifndef BARLEYFORK_GATEWAY_SRC_QUARANTINE_ROW_CODEC_HPP
#define BARLEYFORK_GATEWAY_SRC_QUARANTINE_ROW_CODEC_HPP

#include <barleyfork/core/crash_quarantine.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace barleyfork {

/// The row of the store that keeps what is blamed on one refused request;
/// `now_ms` in Unix milliseconds. Blames on others are passed over.
std::string encode_refusal(std::uint64_t fingerprint,
                           std::span<const told_blame> blames,
                           std::int64_t now_ms);

/// What a row blames on a request; empty where it is none of ours.
std::vector<told_blame> decode_refusal(std::string_view text,
                                       std::int64_t now_ms);

} // namespace barleyfork

#endif
