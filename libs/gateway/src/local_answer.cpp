#include "local_answer.hpp"

#include <array>
#include <cstdio>

namespace barleyfork {

namespace {

unsigned http_status_of(errc kind)
{
    switch (kind) {
    case errc::unauthorized:
        return 401;
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
    case errc::limit_reached:
        return 429;
    default:
        return 503;
    }
}

std::string error_body(errc kind, std::string_view request_id)
{
    std::string body = R"({"error":{"code":")";
    body += error_name(kind);
    body += R"(","message":")";
    body += make_error_code(kind).message();
    body += '"';
    if (!request_id.empty()) {
        body += R"(,"request_id":")";
        for (const char c : request_id)
            body += c == '"' || c == '\\' || c < ' ' ? '_' : c;
        body += '"';
    }
    body += "}}";
    return body;
}

/// Returns the time in seconds with three decimals.
std::string format_seconds(duration time)
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

local_answer
make_answer(unsigned status, errc kind, std::string_view request_id)
{
    local_answer answer;
    answer.head.status = status;
    answer.head.headers.emplace_back("Content-Type", "application/json");
    answer.body = error_body(kind, request_id);
    return answer;
}

} // namespace

local_answer make_local_answer(errc kind,
                               std::string_view request_id,
                               std::optional<duration> retry_after)
{
    auto answer = make_answer(http_status_of(kind), kind, request_id);
    if (kind == errc::unauthorized)
        answer.head.headers.emplace_back("WWW-Authenticate", "Bearer");
    if (retry_after)
        answer.head.headers.emplace_back("Retry-After",
                                         format_seconds(*retry_after));
    return answer;
}

local_answer make_request_timeout_answer()
{
    return make_answer(408, errc::timeout, {});
}

local_answer make_malformed_request_answer()
{
    return make_answer(400, errc::invalid_input, {});
}

local_answer make_too_large_answer(unsigned status)
{
    return make_answer(status, errc::too_large, {});
}

} // namespace barleyfork
