#ifndef BARLEYFORK_GATEWAY_SRC_BACKEND_POOL_HPP
#define BARLEYFORK_GATEWAY_SRC_BACKEND_POOL_HPP

#include "backend_connection.hpp"

#include <map>
#include <memory>
#include <vector>

namespace barleyfork {

/// Keeps connections to backend servers between exchanges; one duty's.
class backend_pool
{
public:
    backend_pool(boost::asio::any_io_executor executor, timer_queue& timers);

    /// A connection to `target`: the one that was used last, or a new one.
    ///
    /// A request that may not be sent twice gets a kept connection only while
    /// the server is sure not to close it from its side.
    std::shared_ptr<backend_connection>
    acquire(const boost::asio::ip::tcp::endpoint& target,
            bool repeatable,
            time_point now);

    /// A new connection to `target`.
    std::shared_ptr<backend_connection>
    open(const boost::asio::ip::tcp::endpoint& target);

    /// True where `acquire` would give a kept connection.
    bool has_idle(const boost::asio::ip::tcp::endpoint& target,
                  bool repeatable,
                  time_point now) const;

    /// Drops idle connections that servers are about to close.
    void sweep(time_point now);

    /// Connections opened since the start.
    std::uint64_t opened() const noexcept
    {
        return opened_;
    }

private:
    using kept = std::vector<std::shared_ptr<backend_connection>>;

    boost::asio::any_io_executor executor_;
    timer_queue& timers_;
    std::map<boost::asio::ip::tcp::endpoint, kept> idle_;
    std::uint64_t opened_ = 0;
};

} // namespace barleyfork

#endif
