#ifndef BARLEYFORK_NET_FRAME_HPP
#define BARLEYFORK_NET_FRAME_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/schema/peer_generated.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace barleyfork {

/// Bytes before a frame's payload: its length, big-endian, then its tag.
constexpr std::size_t frame_header_bytes = 4 + 32;
/// Larger frames are refused before they are read.
constexpr std::size_t largest_frame_bytes = 8 * 1024 * 1024;

/// Packs a message into one authenticated frame; large ones are compressed.
std::string encode_frame(const schema::peer_message_record& message,
                         std::string_view secret);

/// The payload's length from a frame's header; `protocol_error` where it is
/// zero or over the limit.
failure decode_frame_length(std::string_view header, std::size_t& out);

/// Checks tag and structure and unpacks; `forbidden` for a wrong tag,
/// `protocol_error` for a payload that does not verify.
failure decode_frame(std::string_view header,
                     std::string_view payload,
                     std::string_view secret,
                     schema::peer_message_record& out);

} // namespace barleyfork

#endif
