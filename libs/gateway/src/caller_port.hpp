#ifndef BARLEYFORK_GATEWAY_SRC_CALLER_PORT_HPP
#define BARLEYFORK_GATEWAY_SRC_CALLER_PORT_HPP

#include "http_text.hpp"

#include <string_view>

namespace barleyfork {

/// The destination of the response to one request.
class caller_port
{
public:
    virtual ~caller_port() = default;

    /// Sends a complete response.
    virtual void send_answer(const answer_head& head,
                             std::string_view body) = 0;

    /// Begins a streamed response.
    virtual void begin_stream(const answer_head& head) = 0;
    virtual void send_stream_part(std::string_view bytes) = 0;

    /// Ends a streamed response and marks it as complete.
    virtual void end_stream() = 0;

    /// Returns the number of response bytes that are still buffered here.
    virtual std::size_t unsent_bytes() const = 0;

    /// Closes the connection, so that the caller sees that the response is
    /// truncated.
    virtual void abort() = 0;
};

} // namespace barleyfork

#endif
