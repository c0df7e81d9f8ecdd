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

/// Header fields in the order they came; names as they were written.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// The first value of a header, whatever the case of its name; else nothing.
std::optional<std::string_view> find_header(const header_list& headers,
                                            std::string_view name);

/// What a request says of itself in its headers.
struct call_facts
{
    /// Names this try of the caller; its answer carries it too.
    std::string try_id;
    /// How long the caller will wait.
    std::optional<duration> time_left;
    /// Empty where the request is for a plain service.
    model_id model;
    std::string adapter;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t most_output_tokens = 0;
};

/// What this daemon tells a backend server beside the caller's own headers.
struct forward_facts
{
    /// Any other server is to refuse the request.
    server_id expected;
    duration time_left{0};
    /// 0 is the most urgent; only for engines.
    std::optional<std::uint32_t> urgency;
    /// The last event that the caller has, where a stream goes on.
    std::string resume_after;
};

/// What an answer says of itself in its headers.
struct answer_facts
{
    std::string try_id;
    /// The server itself says that the request was not run.
    bool not_run = false;
    /// Another process than the expected one answered.
    bool wrong_server = false;
    /// The server is about to leave: it wants no new requests.
    bool leaving = false;
    /// How long a server that turned the request away wants nothing.
    std::optional<duration> wants_nothing_for;
    /// The server vouches that answer and body are its own.
    bool signed_by_server = false;
    struct server_load
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint32_t slots = 0;
    };
    std::optional<server_load> load;
};

/// Translates headers between the wire and the product's types; it decides
/// nothing. One implementation for each kind of wire.
class call_codec
{
public:
    virtual ~call_codec() = default;

    virtual call_facts read_call(const header_list& headers) const = 0;

    /// True for a header that only the system may set towards servers.
    virtual bool is_reserved(std::string_view name) const = 0;

    /// True for a header that is part of the request itself: it is passed on
    /// even where the caller lists it as one of the connection.
    virtual bool belongs_to_call(std::string_view name) const = 0;

    /// The headers that carry `facts`.
    virtual header_list write_forward(const forward_facts& facts) const = 0;

    /// Takes an answer's status and headers apart.
    virtual answer_facts read_answer(unsigned status,
                                     const header_list& headers,
                                     const server_id& expected) const = 0;
};

} // namespace barleyfork

#endif
