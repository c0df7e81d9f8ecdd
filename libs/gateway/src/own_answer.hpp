#ifndef BARLEYFORK_GATEWAY_SRC_OWN_ANSWER_HPP
#define BARLEYFORK_GATEWAY_SRC_OWN_ANSWER_HPP

#include "http_text.hpp"

#include <barleyfork/base/error.hpp>
#include <barleyfork/base/time.hpp>

#include <optional>
#include <string>

namespace barleyfork {

/// An answer that the gateway gives itself.
struct own_answer
{
    answer_head head;
    std::string body;
};

/// A failure as an answer: its status follows from its kind. `retry_after`
/// goes with refusals that promise that the request was not run.
own_answer make_own_answer(errc kind,
                           std::string_view request,
                           std::optional<duration> retry_after);

/// The request did not come whole within its time limit.
own_answer refuse_late_request();

own_answer refuse_malformed_request();

/// `status` is 413 or 431.
own_answer refuse_large_request(unsigned status);

} // namespace barleyfork

#endif
