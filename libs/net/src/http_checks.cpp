#include <barleyfork/net/http_checks.hpp>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace barleyfork {

namespace beast = boost::beast;
namespace http = boost::beast::http;

bool is_ambiguous(const http::fields& fields)
{
    const auto lengths = fields.count(http::field::content_length);
    const auto codings = fields.count(http::field::transfer_encoding);
    if (lengths > 1 || codings > 1 || (lengths != 0 && codings != 0))
        return true;
    return codings == 1 &&
           !beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

unsigned refusal_status(const beast::error_code& error)
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
