#ifndef BARLEYFORK_GATEWAY_SRC_CALLER_PORT_HPP
#define BARLEYFORK_GATEWAY_SRC_CALLER_PORT_HPP

#include "http_text.hpp"

#include <string_view>

namespace barleyfork {

/// Where the answer to one request goes.
class caller_port
{
public:
    virtual ~caller_port() = default;

    /// Sends a whole answer.
    virtual void send_whole(const answer_head& head, std::string_view body) = 0;

    /// Begins a streamed answer.
    virtual void begin_stream(const answer_head& head) = 0;
    virtual void send_part(std::string_view bytes) = 0;

    /// Ends a streamed answer as whole.
    virtual void end_stream() = 0;

    /// Bytes of the answer that the caller has not taken yet.
    virtual std::size_t unsent() const = 0;

    /// Cuts the connection: what was sent is not whole.
    virtual void abort() = 0;
};

} // namespace barleyfork

#endif
