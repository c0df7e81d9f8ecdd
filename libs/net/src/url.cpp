#include <barleyfork/net/url.hpp>

#include <boost/url/decode_view.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/parse_query.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace barleyfork {

std::string to_string(const http_endpoint& endpoint)
{
    return endpoint.host + ":" + std::to_string(endpoint.port);
}

failure parse_url(std::string_view text, http_endpoint& out)
{
    const auto parsed = boost::urls::parse_uri(text);
    if (!parsed || parsed->scheme() != "http" || !parsed->has_port() ||
        parsed->port_number() == 0)
        return make_failure(errc::invalid_input,
                            "URL '" + std::string(text) +
                                "': write http://IP:PORT");
    out.host = parsed->host_address();
    out.port = parsed->port_number();
    out.base_path = parsed->path();
    if (out.base_path.ends_with('/'))
        out.base_path.pop_back();
    return {};
}

std::string query_value(std::string_view query, std::string_view name)
{
    const auto parsed = boost::urls::parse_query(query);
    if (!parsed)
        return {};
    for (const auto& param : *parsed)
        if (*param.key == name)
            return {(*param.value).begin(), (*param.value).end()};
    return {};
}

std::string percent_encode(std::string_view text)
{
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

} // namespace barleyfork
