#include <barleyfork/core/request_demand.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

/// Work of an output token relative to that of a prompt token.
constexpr double output_weight = 2.5;
constexpr double ms_per_second = 1000.0;

} // namespace

double demanded_work(std::uint64_t prompt_tokens,
                     std::uint64_t max_output_tokens,
                     const pace_estimator& pace) noexcept
{
    const double tokens =
        static_cast<double>(prompt_tokens) +
        output_weight * static_cast<double>(max_output_tokens);
    const double ms_per_token =
        std::min(pace.ms_per_token(), pace_estimator().ms_per_token());
    return tokens * ms_per_token / ms_per_second;
}

} // namespace barleyfork
