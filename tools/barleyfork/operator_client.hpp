#ifndef BARLEYFORK_TOOLS_BARLEYFORK_OPERATOR_CLIENT_HPP
#define BARLEYFORK_TOOLS_BARLEYFORK_OPERATOR_CLIENT_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/net/http_client.hpp>

#include <boost/json/value.hpp>
#include <string>

namespace barleyfork {

/// The answer of a daemon's operator address.
struct operator_answer
{
    /// Set where no answer came or the daemon refused.
    failure error;
    boost::json::value body;
};

/// Calls a daemon's operator address and waits for the answer.
class operator_client
{
public:
    /// `address` is IP:PORT; `key` the operator's key.
    operator_client(const std::string& address,
                    std::string key,
                    std::string operator_name);

    operator_answer call(const std::string& method,
                         const std::string& target,
                         const std::string& body = {});

private:
    std::string address_;
    std::string key_;
    std::string operator_name_;
};

} // namespace barleyfork

#endif
