#ifndef BARLEYFORK_GATEWAY_CALL_CODEC_HPP
#define BARLEYFORK_GATEWAY_CALL_CODEC_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace barleyfork {

/// Header fields in the order of arrival, names with their original case.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Returns the first value of a header, or nothing if the header is absent.
/// The case of `name` is ignored.
std::optional<std::string_view> find_header(const header_list& headers,
                                            std::string_view name);

/// The metadata of a request, taken from its headers.
struct request_metadata
{
    /// Identifies this client attempt; the response carries the same id.
    std::string client_attempt_id;
    /// How much longer the caller will wait.
    std::optional<duration> time_left;
    /// Empty if the request is for a plain service.
    model_id model;
    std::string adapter;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    /// True if the caller stated the two token counts.
    bool has_token_count = false;
    /// The ids of the parts of the prompt that other requests may share, in
    /// order; 64 at most.
    std::vector<std::string> shared_prompt_parts;

    /// The tokens that the request may hold and use in all.
    std::uint64_t total_tokens() const noexcept
    {
        return std::uint64_t{prompt_tokens} + max_output_tokens;
    }
};

/// The metadata that this daemon sends to a backend server in addition to the
/// caller's own headers.
struct forwarding_metadata
{
    /// The server for which the request is meant; any other server must reject
    /// the request.
    server_id expected;
    duration time_left{0};
    /// 0 is the most urgent. Set only for engines.
    std::optional<std::uint32_t> urgency;
    /// The organisation that holds the caller's key; empty if the request needs
    /// none. Replaces whatever the caller sent.
    organisation_id organisation;
    /// The id of the last event that the caller received, if a stream is
    /// resumed.
    std::string resume_after;
};

/// The metadata of a response, taken from its headers.
struct answer_metadata
{
    std::string client_attempt_id;
    /// True if the server reports that it did not run the request.
    bool not_run = false;
    /// True if a process other than the expected one responded.
    bool wrong_server = false;
    /// True if the server announces its shutdown: it accepts no new requests.
    bool leaving = false;
    /// For how long a server that rejected the request will reject further
    /// ones (the server's Retry-After).
    std::optional<duration> rejects_requests_for;
    /// Requests per second that the server takes from all daemons together;
    /// nothing if it names no limit.
    std::optional<double> request_limit;
    /// True if the server's signature covers the response and its body.
    bool signed_by_server = false;
    struct server_load
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint32_t slots = 0;
        /// How long work takes on the server's machine, relative to usual;
        /// nothing if the server doesn't tell.
        std::optional<double> slowness;
    };
    std::optional<server_load> load;
};

/// Translates headers between the wire format and the types of this system,
/// without any policy. There is one implementation for each wire format.
class call_codec
{
public:
    virtual ~call_codec() = default;

    virtual request_metadata
    parse_request_metadata(const header_list& headers) const = 0;

    /// Returns true for a header that only this system may set on requests to
    /// servers.
    virtual bool is_reserved(std::string_view name) const = 0;

    /// Returns true for the header that tells servers the organisation. Where
    /// organisations are declared, a caller's own one is not forwarded.
    virtual bool names_organisation(std::string_view name) const = 0;

    /// Returns true for a header that is part of the request itself. Such a
    /// header is forwarded even if the caller lists it in `Connection`.
    virtual bool is_always_forwarded(std::string_view name) const = 0;

    /// Returns the headers that carry `facts`.
    virtual header_list
    make_forwarding_headers(const forwarding_metadata& facts) const = 0;

    /// Extracts the metadata from a response's status and headers.
    virtual answer_metadata read_answer(unsigned status,
                                        const header_list& headers,
                                        const server_id& expected) const = 0;
};

} // namespace barleyfork

#endif
