#ifndef BARLEYFORK_NET_ANSWER_LIMITS_HPP
#define BARLEYFORK_NET_ANSWER_LIMITS_HPP

#include <cstddef>
#include <cstdint>

/// Limits on HTTP responses; they apply to every client of this project.
namespace barleyfork {

/// Maximum size of the status line with the headers; also of a chunk's line
/// with its extensions, and of the trailers.
inline constexpr std::uint32_t max_head_bytes = 64 * 1024;

/// Maximum of response bytes that were received but can't be parsed yet.
inline constexpr std::size_t max_unparsed_bytes = 2 * max_head_bytes;

/// Maximum number of interim responses before the final one.
inline constexpr int max_interim_answers = 16;

/// Returns true for a status that a response may have. Parsers accept any three
/// digits, also those that are no status (RFC 9110, section 15), and a change
/// of protocol, which no client of this project asks for. Bytes with such a
/// status are no response.
constexpr bool is_valid_status(unsigned status) noexcept
{
    constexpr unsigned first_status = 100;
    constexpr unsigned last_status = 599;
    constexpr unsigned switching_protocols = 101;
    return status >= first_status && status <= last_status &&
           status != switching_protocols;
}

/// Returns true for a status after which another response to the same request
/// follows. `status` is a valid one.
constexpr bool is_interim(unsigned status) noexcept
{
    constexpr unsigned first_final = 200;
    return status < first_final;
}

} // namespace barleyfork

#endif
