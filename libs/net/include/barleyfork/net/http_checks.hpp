#ifndef BARLEYFORK_NET_HTTP_CHECKS_HPP
#define BARLEYFORK_NET_HTTP_CHECKS_HPP

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace barleyfork {

/// Returns true if two parsers could interpret a message differently: two
/// lengths, a length beside a transfer coding, or a coding other than
/// `chunked`.
bool is_ambiguous(const boost::beast::http::fields& fields);

/// Returns true if a segment of the path is `.` or `..`, in any escaping of the
/// dots and of the slashes around them: a server may resolve such a path to
/// another one.
bool has_dot_segment(std::string_view path);

/// A request target in absolute form, split into host and origin form.
struct origin_target
{
    std::string host;
    /// Path and query.
    std::string target;
};

/// Splits a target in absolute form (RFC 9112, 3.2.2); returns no value for
/// other forms.
std::optional<origin_target> split_absolute_form(std::string_view target);

/// Returns the status of the response to a request that could not be read: 400,
/// 413 or 431; 0 if the connection merely closed.
unsigned rejection_status(const boost::beast::error_code& error);

} // namespace barleyfork

#endif
