#ifndef BARLEYFORK_NET_HTTP_CHECKS_HPP
#define BARLEYFORK_NET_HTTP_CHECKS_HPP

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace barleyfork {

/// True where two parsers could read the message in two ways: two lengths, a
/// length beside a transfer coding, or a coding other than `chunked`.
bool is_ambiguous(const boost::beast::http::fields& fields);

/// True where a segment of the path is `.` or `..`, however its dots and the
/// slashes around it are escaped: a server may read it as another path.
bool has_dot_segment(std::string_view path);

/// A request's target without the host that the absolute form names.
struct origin_target
{
    std::string host;
    /// Path and query.
    std::string target;
};

/// Takes a target in absolute form apart (RFC 9112, 3.2.2); nothing where it is
/// in another form.
std::optional<origin_target> split_absolute_form(std::string_view target);

/// The status that answers a request which could not be read: 400, 413 or
/// 431; 0 where the connection merely ended.
unsigned refusal_status(const boost::beast::error_code& error);

} // namespace barleyfork

#endif
