#ifndef BARLEYFORK_GATEWAY_SRC_LOCAL_ANSWER_HPP
#define BARLEYFORK_GATEWAY_SRC_LOCAL_ANSWER_HPP

#include "http_text.hpp"

#include <barleyfork/base/error.hpp>
#include <barleyfork/base/time.hpp>

#include <optional>
#include <string>

namespace barleyfork {

/// A response that the gateway itself makes.
struct local_answer
{
    answer_head head;
    std::string body;
};

/// Returns an error response; `kind` determines the status. `retry_after` is
/// only for rejections that promise that the request was not run.
local_answer make_local_answer(errc kind,
                               std::string_view request_id,
                               std::optional<duration> retry_after);

/// Returns the response to a request that was incomplete at its timeout.
local_answer make_request_timeout_answer();

local_answer make_malformed_request_answer();

/// Returns the response to a request that exceeds a size limit. `status` is
/// 413 (body) or 431 (headers).
local_answer make_too_large_answer(unsigned status);

} // namespace barleyfork

#endif
