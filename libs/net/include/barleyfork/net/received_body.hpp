#ifndef BARLEYFORK_NET_RECEIVED_BODY_HPP
#define BARLEYFORK_NET_RECEIVED_BODY_HPP

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/none.hpp>
#include <boost/optional.hpp>
#include <cstdint>

namespace barleyfork {

/// The body of a message that a peer sends, as a string.
///
/// Its memory grows with the bytes that arrive. The reader of `string_body`
/// reserves the length that the head declares, before any of it has arrived:
/// for a length that no memory holds it throws.
struct received_body : boost::beast::http::string_body
{
    class reader : public boost::beast::http::string_body::reader
    {
        using base = boost::beast::http::string_body::reader;

    public:
        using base::base;

        void init(const boost::optional<std::uint64_t>&,
                  boost::beast::error_code& error)
        {
            base::init(boost::none, error);
        }
    };
};

} // namespace barleyfork

#endif
