#include "http_text.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/base/text.hpp>

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <set>

namespace barleyfork {

namespace http = boost::beast::http;

namespace {

constexpr std::array<std::string_view, 10> hop_by_hop_headers{
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect"};

bool is_hop_by_hop(std::string_view name)
{
    return std::any_of(
        hop_by_hop_headers.begin(),
        hop_by_hop_headers.end(),
        [name](auto header) { return equal_ignoring_case(name, header); });
}

using header_names = std::set<std::string_view, boost::beast::iless>;

/// Returns the headers that `Connection` headers list as hop-by-hop, as views
/// of `headers`.
header_names names_listed_in_connection(const header_list& headers)
{
    header_names names;
    for (const auto& [key, value] : headers) {
        if (!equal_ignoring_case(key, "connection"))
            continue;
        for (const auto token : http::token_list(value))
            names.insert({token.data(), token.size()});
    }
    return names;
}

/// Returns the host that a request names, in lower case and without the port,
/// as routes are matched.
std::string host_name(const header_list& headers)
{
    const auto host = find_header(headers, "host").value_or("");
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z'
                   ? static_cast<char>(letter - 'A' + 'a')
                   : letter;
    });
    return name;
}

void append_header(std::string& out,
                   std::string_view name,
                   std::string_view value)
{
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
}

} // namespace

std::optional<std::string_view> find_header(const header_list& headers,
                                            std::string_view name)
{
    for (const auto& [key, value] : headers)
        if (equal_ignoring_case(key, name))
            return value;
    return std::nullopt;
}

std::string_view caller_request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::uint64_t caller_request::caller_hash() const
{
    const std::string_view credentials =
        organisation.empty()
            ? find_header(headers, "authorization").value_or("")
            : std::string_view(organisation.value());
    return hash64(credentials, hash64(host_name(headers)));
}

std::uint64_t caller_request::fingerprint() const
{
    auto hash = caller_hash();
    for (const std::string_view part : {std::string_view(method),
                                        std::string_view(target),
                                        std::string_view(*body)})
        hash = hash64(part, hash);
    return hash;
}

header_list end_to_end_headers(const header_list& headers,
                               const call_codec& codec)
{
    const auto listed = names_listed_in_connection(headers);
    header_list result;
    for (const auto& [name, value] : headers) {
        if (is_hop_by_hop(name))
            continue;
        if (listed.contains(name) && !codec.is_always_forwarded(name))
            continue;
        result.emplace_back(name, value);
    }
    return result;
}

outgoing_request write_request(const caller_request& request,
                               const call_codec& codec,
                               const header_list& added_headers)
{
    std::string out;
    constexpr std::size_t typical_head_bytes = 512;
    out.reserve(typical_head_bytes);
    out += request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : end_to_end_headers(request.headers, codec))
    {
        const bool is_replaced =
            std::any_of(added_headers.begin(),
                        added_headers.end(),
                        [&name = name](const auto& own) {
                            return equal_ignoring_case(own.first, name);
                        });
        if (!is_replaced && !codec.is_reserved(name))
            append_header(out, name, value);
    }
    for (const auto& [name, value] : added_headers)
        append_header(out, name, value);
    const bool has_length =
        !request.body->empty() ||
        find_header(request.headers, "content-length").has_value() ||
        find_header(request.headers, "transfer-encoding").has_value();
    if (has_length)
        append_header(
            out, "Content-Length", std::to_string(request.body->size()));
    out += "\r\n";
    return {std::move(out), request.body};
}

std::string write_answer_head(const answer_head& head,
                              const header_list& added_headers)
{
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + ' ';
    out += head.reason.empty() ? std::string(http::obsolete_reason(
                                     http::int_to_status(head.status)))
                               : head.reason;
    out += "\r\n";
    for (const auto& [name, value] : head.headers)
        append_header(out, name, value);
    for (const auto& [name, value] : added_headers)
        append_header(out, name, value);
    out += "\r\n";
    return out;
}

std::optional<duration> keep_alive_timeout(const header_list& headers)
{
    constexpr std::string_view key = "timeout=";
    constexpr std::int64_t ms_per_second = 1000;
    // Nobody keeps a connection idle for a day, whatever the server declares.
    constexpr std::int64_t max_idle_timeout_s = 86400;
    const auto value = find_header(headers, "keep-alive");
    if (!value)
        return std::nullopt;
    const auto at = value->find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    std::int64_t seconds = 0;
    const auto* begin = value->data() + at + key.size();
    const auto* end = value->data() + value->size();
    if (std::from_chars(begin, end, seconds).ec != std::errc() || seconds < 0)
        return std::nullopt;
    return duration(std::min(seconds, max_idle_timeout_s) * ms_per_second);
}

void append_chunk(std::string& out, std::string_view bytes)
{
    out += to_hexadecimal(bytes.size());
    out += "\r\n";
    out += bytes;
    out += "\r\n";
}

} // namespace barleyfork
