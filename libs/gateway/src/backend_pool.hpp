#ifndef BARLEYFORK_GATEWAY_SRC_BACKEND_POOL_HPP
#define BARLEYFORK_GATEWAY_SRC_BACKEND_POOL_HPP

#include "backend_connection.hpp"

#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace barleyfork {

/// Keeps idle connections to backend servers for reuse. Not thread-safe: used
/// by one worker thread only.
class backend_pool
{
public:
    backend_pool(boost::asio::any_io_executor executor, timer_queue& timers);

    /// Returns the most recently used idle connection to `target` that has not
    /// carried `request_id`, or a new one.
    ///
    /// A request that must not be sent twice gets an idle connection only well
    /// before the server's idle timeout, so that the server does not close the
    /// connection while the request is on its way.
    std::shared_ptr<backend_connection>
    acquire(const boost::asio::ip::tcp::endpoint& target,
            std::string_view request_id,
            bool is_repeatable,
            time_point now);

    /// Returns true if `acquire` would return an idle connection.
    bool has_idle(const boost::asio::ip::tcp::endpoint& target,
                  bool is_repeatable,
                  time_point now) const;

    /// Closes idle connections that are near their server's idle timeout.
    void close_expiring(time_point now);

    /// Returns the number of connections opened since the start.
    std::uint64_t opened_count() const noexcept
    {
        return opened_count_;
    }

private:
    using connection_list = std::vector<std::shared_ptr<backend_connection>>;

    /// Returns a new connection to `target`; the first exchange connects it.
    std::shared_ptr<backend_connection>
    open(const boost::asio::ip::tcp::endpoint& target);

    boost::asio::any_io_executor executor_;
    timer_queue& timers_;
    std::map<boost::asio::ip::tcp::endpoint, connection_list> idle_;
    std::uint64_t opened_count_ = 0;
};

} // namespace barleyfork

#endif
