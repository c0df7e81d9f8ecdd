#ifndef BARLEYFORK_NET_FRAME_HPP
#define BARLEYFORK_NET_FRAME_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/schema/peer_generated.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace barleyfork {

/// Size of a frame's header: the payload's length (big-endian), then the tag.
constexpr std::size_t frame_header_bytes = 4 + 32;
/// Maximum payload size; larger frames are rejected before they are read.
constexpr std::size_t max_frame_bytes = 8 * 1024 * 1024;

/// Encodes a message as one authenticated frame; compresses large messages.
std::string encode_frame(const schema::peer_message_record& message,
                         std::string_view secret);

/// Reads the payload's length from a frame's header; fails with
/// `protocol_error` if it is zero or above `max_frame_bytes`.
failure decode_frame_length(std::string_view header, std::size_t& out);

/// Checks the tag and the structure of a frame and decodes its message; fails
/// with `forbidden` for a wrong tag, and with `protocol_error` for a payload
/// that does not verify.
failure decode_frame(std::string_view header,
                     std::string_view payload,
                     std::string_view secret,
                     schema::peer_message_record& out);

} // namespace barleyfork

#endif
