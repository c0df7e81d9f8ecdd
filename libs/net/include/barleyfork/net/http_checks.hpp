#ifndef BARLEYFORK_NET_HTTP_CHECKS_HPP
#define BARLEYFORK_NET_HTTP_CHECKS_HPP

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/fields.hpp>

namespace barleyfork {

/// True where two parsers could read the message in two ways: two lengths, a
/// length beside a transfer coding, or a coding other than `chunked`.
bool is_ambiguous(const boost::beast::http::fields& fields);

/// The status that answers a request which could not be read: 400, 413 or
/// 431; 0 where the connection merely ended.
unsigned refusal_status(const boost::beast::error_code& error);

} // namespace barleyfork

#endif
