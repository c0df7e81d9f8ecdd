#ifndef BARLEYFORK_CORE_REQUEST_DEMAND_HPP
#define BARLEYFORK_CORE_REQUEST_DEMAND_HPP

#include <barleyfork/core/pace_estimator.hpp>

#include <cstdint>

namespace barleyfork {

/// Returns the work that a request demands of servers, in server-seconds, from
/// the tokens of its prompt, the tokens that it may produce, and the measured
/// pace of its model.
///
/// Time per token counts only up to what an estimator assumes before its first
/// observations. On saturated servers it includes the time in their queues, so
/// that a model whose pace was measured there would seem to need several times
/// the servers of another one that is not measured yet.
double demanded_work(std::uint64_t prompt_tokens,
                     std::uint64_t max_output_tokens,
                     const pace_estimator& pace) noexcept;

} // namespace barleyfork

#endif
