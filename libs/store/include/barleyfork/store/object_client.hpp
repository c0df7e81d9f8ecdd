#ifndef BARLEYFORK_STORE_OBJECT_CLIENT_HPP
#define BARLEYFORK_STORE_OBJECT_CLIENT_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/net/http_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <string>

namespace barleyfork {

/// Client of the object store, where an object's name is the digest of its
/// bytes.
class object_client
{
public:
    object_client(http_endpoint endpoint, duration timeout);

    /// Writes an object. Idempotent, because the name determines the bytes.
    boost::asio::awaitable<failure> put(std::string name, std::string bytes);

    /// Reads an object and verifies its digest; fails with `protocol_error`
    /// where the digest differs.
    boost::asio::awaitable<failure> get(std::string digest, std::string& bytes);

    /// Reads an object by its name without verifying a digest; the caller
    /// validates the content.
    boost::asio::awaitable<failure> get_unverified(std::string name,
                                                   std::string& bytes);

private:
    http_endpoint endpoint_;
    duration timeout_;
    http_client client_;
};

} // namespace barleyfork

#endif
