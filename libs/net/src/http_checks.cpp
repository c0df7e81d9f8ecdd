#include <barleyfork/net/http_checks.hpp>

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace barleyfork {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Decodes the escapes of dots and slashes only; no other character forms a dot
/// segment. Backslashes become slashes.
std::string unescape_separators(std::string_view path)
{
    constexpr std::size_t escape_size = 3;
    std::string plain;
    for (std::size_t at = 0; at < path.size();) {
        const auto escape = path.substr(at, escape_size);
        if (beast::iequals(escape, "%2e"))
            plain += '.';
        else if (beast::iequals(escape, "%2f") || beast::iequals(escape, "%5c"))
            plain += '/';
        else {
            plain += path[at] == '\\' ? '/' : path[at];
            ++at;
            continue;
        }
        at += escape_size;
    }
    return plain;
}

} // namespace

bool has_dot_segment(std::string_view path)
{
    const auto plain = unescape_separators(path);
    std::size_t begin = 0;
    while (begin <= plain.size()) {
        const auto end = std::min(plain.find('/', begin), plain.size());
        const auto segment = std::string_view(plain).substr(begin, end - begin);
        if (segment == "." || segment == "..")
            return true;
        begin = end + 1;
    }
    return false;
}

std::optional<origin_target> split_absolute_form(std::string_view target)
{
    constexpr std::string_view scheme = "http://";
    if (!beast::iequals(target.substr(0, scheme.size()), scheme))
        return std::nullopt;
    target.remove_prefix(scheme.size());
    const auto host_end = std::min(target.find_first_of("/?"), target.size());
    origin_target split;
    split.host = std::string(target.substr(0, host_end));
    split.target = std::string(target.substr(host_end));
    if (!split.target.starts_with('/'))
        split.target.insert(split.target.begin(), '/');
    if (split.host.empty() || split.host.find('@') != std::string::npos)
        return std::nullopt;
    return split;
}

bool is_ambiguous(const http::fields& fields)
{
    const auto lengths = fields.count(http::field::content_length);
    const auto codings = fields.count(http::field::transfer_encoding);
    if (lengths > 1 || codings > 1 || (lengths != 0 && codings != 0))
        return true;
    return codings == 1 &&
           !beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

unsigned rejection_status(const beast::error_code& error)
{
    if (error == http::error::body_limit)
        return 413;
    if (error == http::error::header_limit)
        return 431;
    if (error.category() ==
            make_error_code(http::error::bad_target).category() &&
        error != http::error::end_of_stream &&
        error != http::error::partial_message)
        return 400;
    return 0;
}

} // namespace barleyfork
