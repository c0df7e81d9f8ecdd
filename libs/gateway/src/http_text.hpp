#ifndef BARLEYFORK_GATEWAY_SRC_HTTP_TEXT_HPP
#define BARLEYFORK_GATEWAY_SRC_HTTP_TEXT_HPP

#include <barleyfork/base/time.hpp>
#include <barleyfork/gateway/call_codec.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace barleyfork {

/// The status of a response without a body and without a length of one.
inline constexpr unsigned status_no_content = 204;

/// A complete request of a caller.
struct caller_request
{
    std::string method;
    /// The path and query as the caller sent them.
    std::string target;
    header_list headers;
    /// Shared with the connections on which it is being written. Never null.
    std::shared_ptr<const std::string> body;
    /// The remote address of the caller's connection, without the port.
    std::string caller_address;
    /// The organisation that the caller's key identifies; empty if the request
    /// needs none.
    organisation_id organisation;

    std::string_view path() const;

    /// Returns a hash of the caller, which is known by the host that it asks
    /// and by its organisation, or else by its credentials. The address of its
    /// connection does not matter: it may be that of a balancer, and one caller
    /// may have many.
    std::uint64_t caller_hash() const;

    /// Returns a hash that is the same for all client attempts of a request, at
    /// any daemon and with any client attempt id.
    std::uint64_t fingerprint() const;
};

/// The status line and headers of a response.
struct answer_head
{
    unsigned status = 0;
    std::string reason;
    header_list headers;
};

/// Returns the end-to-end headers. The headers that frame the body are omitted
/// too, since each connection frames the body on its own.
header_list end_to_end_headers(const header_list& headers,
                               const call_codec& codec);

/// A request as it is written to a server.
struct outgoing_request
{
    std::string head;
    /// Null if nothing is to be written.
    std::shared_ptr<const std::string> body;
};

/// Returns a request with `added` after the caller's own headers. A header in
/// `added` replaces the caller's one of the same name.
outgoing_request write_request(const caller_request& request,
                               const call_codec& codec,
                               const header_list& added_headers);

/// Returns the status line and headers of a response, followed by an empty
/// line.
std::string write_answer_head(const answer_head& head,
                              const header_list& added_headers);

/// Returns the timeout in a `Keep-Alive` header, if there is one.
std::optional<duration> keep_alive_timeout(const header_list& headers);

/// Appends one chunk of a body in the chunked coding.
void append_chunk(std::string& out, std::string_view bytes);

/// The last chunk of a body in the chunked coding, with an empty trailer.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace barleyfork

#endif
