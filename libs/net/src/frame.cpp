#include <barleyfork/net/frame.hpp>

#include <barleyfork/base/digest.hpp>

#include <boost/endian/conversion.hpp>

namespace barleyfork {

namespace {

constexpr std::size_t length_bytes = 4;

} // namespace

std::string encode_frame(const schema::peer_message_record& message,
                         std::string_view secret)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::peer_message::Pack(builder, &message));
    const std::string_view payload(
        reinterpret_cast<const char*>(builder.GetBufferPointer()),
        builder.GetSize());
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
        return make_failure(errc::protocol_error, "the frame's header");
    out = boost::endian::load_big_u32(
        reinterpret_cast<const unsigned char*>(header.data()));
    if (out == 0 || out > largest_frame_bytes)
        return make_failure(errc::protocol_error, "the frame's length");
    return {};
}

failure decode_frame(std::string_view header,
                     std::string_view payload,
                     std::string_view secret,
                     schema::peer_message_record& out)
{
    const auto tag = header.substr(length_bytes);
    if (!equal_in_constant_time(tag, authentication_tag(secret, payload)))
        return make_failure(errc::forbidden, "the peer frame's tag");
    flatbuffers::Verifier verifier(
        reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size());
    if (!verifier.VerifyBuffer<schema::peer_message>())
        return make_failure(errc::protocol_error, "the peer message");
    out = schema::peer_message_record();
    flatbuffers::GetRoot<schema::peer_message>(payload.data())->UnPackTo(&out);
    return {};
}

} // namespace barleyfork
