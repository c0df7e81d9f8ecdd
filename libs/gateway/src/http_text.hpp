#ifndef BARLEYFORK_GATEWAY_SRC_HTTP_TEXT_HPP
#define BARLEYFORK_GATEWAY_SRC_HTTP_TEXT_HPP

#include <barleyfork/base/time.hpp>
#include <barleyfork/gateway/call_codec.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace barleyfork {

/// A caller's request, read whole.
struct caller_request
{
    std::string method;
    /// Path and query as the caller sent them.
    std::string target;
    header_list headers;
    std::string body;
    /// Where the caller's connection comes from, without the port.
    std::string caller_address;

    std::string_view path() const;

    /// The same for each repeat of a request by its caller, at any daemon,
    /// whatever id the repeat bears.
    std::uint64_t fingerprint() const;
};

/// An answer's status line and headers.
struct answer_head
{
    unsigned status = 0;
    std::string reason;
    header_list headers;
};

/// The headers that go beyond one connection. What frames the body is left
/// out too: each side frames its own.
header_list end_to_end_headers(const header_list& headers,
                               const call_codec& codec);

/// The bytes of a request with `added` behind the caller's own headers.
std::string write_request(const caller_request& request,
                          const call_codec& codec,
                          const header_list& added);

/// The status line and headers of an answer, closed by an empty line.
std::string write_answer_head(const answer_head& head,
                              const header_list& added);

/// The time that a `Keep-Alive` header gives, where it gives one.
std::optional<duration> keep_alive_timeout(const header_list& headers);

/// One chunk of a body in the chunked coding.
void append_chunk(std::string& out, std::string_view bytes);

/// The end of a body in the chunked coding.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace barleyfork

#endif
