#ifndef BARLEYFORK_NET_URL_HPP
#define BARLEYFORK_NET_URL_HPP

#include <barleyfork/base/error.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace barleyfork {

/// Host and port of an `http://` URL whose host is an IP number.
struct http_endpoint
{
    std::string host;
    std::uint16_t port = 0;
    /// The URL's path without a trailing slash; often empty.
    std::string base_path;

    friend bool operator==(const http_endpoint&,
                           const http_endpoint&) = default;
};

/// Returns `IP:PORT`.
std::string to_string(const http_endpoint& endpoint);

/// Parses a URL; fails with `invalid_input`.
failure parse_url(std::string_view text, http_endpoint& out);

/// Returns the decoded value of a query parameter; empty if it is absent.
std::string query_value(std::string_view query, std::string_view name);

/// Escapes a path segment or query value (RFC 3986).
std::string percent_encode(std::string_view text);

} // namespace barleyfork

#endif
