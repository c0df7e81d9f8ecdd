#include <barleyfork/logs/prompt_bands.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace barleyfork {

namespace {

/// One request with a prompt, from its line `request_ended`.
struct ended_request
{
    std::int64_t prompt_tokens = 0;
    std::int64_t first_event_ms = -1;
    std::int64_t target_ms = 0;
    std::string_view outcome;
};

std::int64_t number_in(std::string_view text, std::int64_t otherwise)
{
    std::int64_t number = otherwise;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::vector<ended_request> collect_requests(std::span<const log_line> log)
{
    std::vector<ended_request> requests;
    for (const auto& line : log) {
        if (line.event != "request_ended")
            continue;
        ended_request request;
        request.prompt_tokens = number_in(line.field("prompt_tokens"), 0);
        request.first_event_ms = number_in(line.field("first_event_ms"), -1);
        request.target_ms = number_in(line.field("target_ms"), 0);
        request.outcome = line.field("outcome");
        if (request.prompt_tokens > 0)
            requests.push_back(request);
    }
    std::stable_sort(
        requests.begin(), requests.end(), [](const auto& a, const auto& b) {
            return a.prompt_tokens < b.prompt_tokens;
        });
    return requests;
}

bool is_refusal(std::string_view outcome)
{
    return outcome == "overloaded" || outcome == "no_replica" ||
           outcome == "draining" || outcome == "store_unavailable" ||
           outcome == "quarantined";
}

void count(prompt_band& band, const ended_request& request)
{
    ++band.requests;
    if (request.outcome == "ok")
        ++(request.first_event_ms <= request.target_ms ? band.in_target
                                                       : band.late);
    else if (is_refusal(request.outcome))
        ++band.refused;
    else if (request.outcome == "connection_lost")
        ++band.caller_left;
    else
        ++band.failed;
}

/// Returns the value that `hundredths` in 100 of the sorted times do not
/// exceed; -1 if there are none.
std::int64_t percentile(const std::vector<std::int64_t>& sorted,
                        std::size_t hundredths)
{
    constexpr std::size_t hundred = 100;
    if (sorted.empty())
        return -1;
    return sorted[(sorted.size() - 1) * hundredths / hundred];
}

prompt_band make_band(std::span<const ended_request> requests)
{
    constexpr std::size_t median = 50;
    constexpr std::size_t tail = 95;
    prompt_band band;
    std::vector<std::int64_t> times;
    for (const auto& request : requests) {
        count(band, request);
        if (request.first_event_ms >= 0)
            times.push_back(request.first_event_ms);
    }
    std::sort(times.begin(), times.end());
    band.median_ms = percentile(times, median);
    band.p95_ms = percentile(times, tail);
    if (!requests.empty()) {
        band.min_tokens =
            static_cast<std::uint64_t>(requests.front().prompt_tokens);
        band.max_tokens =
            static_cast<std::uint64_t>(requests.back().prompt_tokens);
    }
    return band;
}

} // namespace

prompt_bands count_prompt_bands(std::span<const log_line> log)
{
    const auto requests = collect_requests(log);
    const std::span<const ended_request> all(requests);
    prompt_bands bands;
    std::size_t begin = 0;
    for (std::size_t i = 0; i < bands.size(); ++i) {
        const auto end = all.size() * (i + 1) / bands.size();
        bands.at(i) = make_band(all.subspan(begin, end - begin));
        begin = end;
    }
    return bands;
}

} // namespace barleyfork
