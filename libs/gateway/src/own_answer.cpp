#include "own_answer.hpp"

#include <array>
#include <cstdio>

namespace barleyfork {

namespace {

unsigned status_of(errc kind)
{
    switch (kind) {
    case errc::not_found:
        return 404;
    case errc::outcome_unknown:
    case errc::protocol_error:
    case errc::connection_lost:
        return 502;
    case errc::timeout:
        return 504;
    case errc::too_large:
        return 413;
    case errc::invalid_input:
        return 400;
    default:
        return 503;
    }
}

std::string error_body(errc kind, std::string_view request)
{
    std::string body = R"({"error":{"code":")";
    body += error_name(kind);
    body += R"(","message":")";
    body += make_error_code(kind).message();
    body += '"';
    if (!request.empty()) {
        body += R"(,"request_id":")";
        for (const char c : request)
            body += c == '"' || c == '\\' || c < ' ' ? '_' : c;
        body += '"';
    }
    body += "}}";
    return body;
}

/// Seconds with three decimals.
std::string seconds_text(duration time)
{
    constexpr int ms_per_second = 1000;
    std::array<char, 32> text{};
    const auto ms = static_cast<int>(time.count());
    std::snprintf(text.data(),
                  text.size(),
                  "%d.%03d",
                  ms / ms_per_second,
                  ms % ms_per_second);
    return text.data();
}

own_answer make(unsigned status, errc kind, std::string_view request)
{
    own_answer answer;
    answer.head.status = status;
    answer.head.headers.emplace_back("Content-Type", "application/json");
    answer.body = error_body(kind, request);
    return answer;
}

} // namespace

own_answer make_own_answer(errc kind,
                           std::string_view request,
                           std::optional<duration> retry_after)
{
    auto answer = make(status_of(kind), kind, request);
    if (retry_after)
        answer.head.headers.emplace_back("Retry-After",
                                         seconds_text(*retry_after));
    return answer;
}

own_answer refuse_late_request()
{
    return make(408, errc::timeout, {});
}

own_answer refuse_malformed_request()
{
    return make(400, errc::invalid_input, {});
}

own_answer refuse_large_request(unsigned status)
{
    return make(status, errc::too_large, {});
}

} // namespace barleyfork
