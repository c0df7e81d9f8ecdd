#include <barleyfork/net/frame.hpp>

#include <barleyfork/base/digest.hpp>

#include <boost/endian/conversion.hpp>
#include <vector>
#include <zstd.h>

namespace barleyfork {

namespace {

constexpr std::size_t length_bytes = 4;
/// Values of a payload's first byte, which gives the encoding of the rest.
constexpr char plain_mark = 'p';
constexpr char compressed_mark = 'z';
/// Compression saves too little on smaller messages.
constexpr std::size_t min_bytes_to_compress = 2048;
/// The library's fastest regular level: daemons run on a share of a core.
constexpr int compression_level = 1;

std::string compress(std::string_view bytes)
{
    std::string out(ZSTD_compressBound(bytes.size()), '\0');
    const auto size = ZSTD_compress(
        out.data(), out.size(), bytes.data(), bytes.size(), compression_level);
    if (ZSTD_isError(size) != 0)
        return {};
    out.resize(size);
    return out;
}

/// Builds a payload: the mark, then the message, plain or compressed.
std::string make_payload(std::string_view bytes)
{
    if (bytes.size() >= min_bytes_to_compress) {
        const auto compressed = compress(bytes);
        if (!compressed.empty() && compressed.size() < bytes.size())
            return compressed_mark + compressed;
    }
    return plain_mark + std::string(bytes);
}

/// Extracts the message's bytes into a separate buffer: directly after the mark
/// a message does not have the alignment that its fields need.
failure open_payload(std::string_view payload, std::vector<std::uint8_t>& out)
{
    const char mark = payload.empty() ? '\0' : payload.front();
    const auto content = payload.substr(payload.empty() ? 0 : 1);
    if (mark == plain_mark) {
        out.assign(content.begin(), content.end());
        return {};
    }
    if (mark != compressed_mark)
        return make_failure(errc::protocol_error,
                            "the peer frame has an unknown encoding mark");
    const auto size = ZSTD_getFrameContentSize(content.data(), content.size());
    if (size > max_frame_bytes)
        return make_failure(
            errc::protocol_error,
            "the peer frame's decompressed size is over the limit or unknown");
    out.resize(size);
    const auto got =
        ZSTD_decompress(out.data(), out.size(), content.data(), content.size());
    if (ZSTD_isError(got) != 0 || got != size)
        return make_failure(errc::protocol_error,
                            "the peer frame's payload does not decompress");
    return {};
}

} // namespace

std::string encode_frame(const schema::peer_message_record& message,
                         std::string_view secret)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::peer_message::Pack(builder, &message));
    const auto payload =
        make_payload({reinterpret_cast<const char*>(builder.GetBufferPointer()),
                      builder.GetSize()});
    std::string frame(length_bytes, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                                 static_cast<std::uint32_t>(payload.size()));
    frame += authentication_tag(secret, payload);
    frame += payload;
    return frame;
}

failure decode_frame_length(std::string_view header, std::size_t& out)
{
    if (header.size() != frame_header_bytes)
        return make_failure(errc::protocol_error,
                            "the peer frame's header has a wrong size");
    out = boost::endian::load_big_u32(
        reinterpret_cast<const unsigned char*>(header.data()));
    if (out == 0 || out > max_frame_bytes)
        return make_failure(
            errc::protocol_error,
            "the peer frame's length is zero or over the limit");
    return {};
}

failure decode_frame(std::string_view header,
                     std::string_view payload,
                     std::string_view secret,
                     schema::peer_message_record& out)
{
    const auto tag = header.substr(length_bytes);
    if (!equal_in_constant_time(tag, authentication_tag(secret, payload)))
        return make_failure(
            errc::forbidden,
            "the peer frame's authentication tag does not match");
    std::vector<std::uint8_t> bytes;
    if (auto error = open_payload(payload, bytes))
        return error;
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!verifier.VerifyBuffer<schema::peer_message>())
        return make_failure(errc::protocol_error,
                            "the peer frame's message is malformed");
    out = schema::peer_message_record();
    flatbuffers::GetRoot<schema::peer_message>(bytes.data())->UnPackTo(&out);
    return {};
}

} // namespace barleyfork
