#ifndef BARLEYFORK_STORE_OBJECT_CLIENT_HPP
#define BARLEYFORK_STORE_OBJECT_CLIENT_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/net/http_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <string>

namespace barleyfork {

/// Reads and writes objects named by the digest of their bytes.
class object_client
{
public:
    object_client(http_endpoint endpoint, duration timeout);

    /// Writes an object; idempotent, since its name tells its bytes.
    boost::asio::awaitable<failure> put(std::string name, std::string bytes);

    /// Reads an object and checks its digest.
    boost::asio::awaitable<failure> get(std::string digest, std::string& bytes);

    /// Reads an object by its name; what it holds is for the caller to check.
    boost::asio::awaitable<failure> get_unchecked(std::string name,
                                                  std::string& bytes);

private:
    http_endpoint endpoint_;
    duration timeout_;
    http_client client_;
};

} // namespace barleyfork

#endif
