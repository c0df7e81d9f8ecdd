#ifndef BARLEYFORK_NET_ANSWER_LIMITS_HPP
#define BARLEYFORK_NET_ANSWER_LIMITS_HPP

#include <cstddef>
#include <cstdint>

/// Bounds on what another side sends as an answer, whoever reads it.
namespace barleyfork {

/// Status line and headers; also a chunk's line with its extensions, and
/// trailers.
inline constexpr std::uint32_t most_head_bytes = 64 * 1024;

/// Bytes of an answer that were received and can't be taken apart yet.
inline constexpr std::size_t most_unparsed_bytes = 2 * most_head_bytes;

/// Interim answers before the final one.
inline constexpr int most_interim_answers = 16;

/// True for a status that announces another answer to the same request.
constexpr bool is_interim(unsigned status) noexcept
{
    constexpr unsigned first_final = 200;
    return status < first_final;
}

} // namespace barleyfork

#endif
