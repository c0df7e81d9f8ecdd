#include <barleyfork/store/object_client.hpp>

#include <barleyfork/base/digest.hpp>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok = 200;

failure store_unavailable_failure(const http_reply& reply)
{
    return make_failure(errc::store_unavailable,
                        "object store: " +
                            (reply.error
                                 ? reply.error.detail
                                 : "status " + std::to_string(reply.status)));
}

} // namespace

object_client::object_client(http_endpoint endpoint, duration timeout)
    : endpoint_(std::move(endpoint)), timeout_(timeout)
{
}

asio::awaitable<failure> object_client::put(std::string name, std::string bytes)
{
    http_call call;
    call.method = "PUT";
    call.target = "/objects/" + name;
    call.body = std::move(bytes);
    call.timeout = timeout_;
    const auto reply = co_await client_.call(endpoint_, std::move(call));
    co_return reply.error || reply.status != status_ok
        ? store_unavailable_failure(reply)
        : failure{};
}

asio::awaitable<failure> object_client::get_unverified(std::string name,
                                                       std::string& bytes)
{
    http_call call;
    call.target = "/objects/" + name;
    call.timeout = timeout_;
    auto reply = co_await client_.call(endpoint_, std::move(call));
    if (reply.error || reply.status != status_ok)
        co_return store_unavailable_failure(reply);
    bytes = std::move(reply.body);
    co_return failure{};
}

asio::awaitable<failure> object_client::get(std::string digest,
                                            std::string& bytes)
{
    std::string content;
    auto error = co_await get_unverified(digest, content);
    if (error)
        co_return error;
    if (content_digest(content) != digest)
        co_return make_failure(errc::protocol_error,
                               "object " + digest +
                                   ": the digest of its bytes differs");
    bytes = std::move(content);
    co_return failure{};
}

} // namespace barleyfork
