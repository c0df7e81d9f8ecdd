#include "backend_pool.hpp"

namespace barleyfork {

namespace {

/// Shares of a server's idle timeout within which a connection is used.
constexpr double repeatable_share = 0.8;
constexpr double careful_share = 0.5;
/// Idle connections kept to one server.
constexpr std::size_t most_idle = 16;

} // namespace

backend_pool::backend_pool(boost::asio::any_io_executor executor,
                           timer_queue& timers)
    : executor_(std::move(executor)), timers_(timers)
{
}

std::shared_ptr<backend_connection>
backend_pool::acquire(const boost::asio::ip::tcp::endpoint& target,
                      bool repeatable,
                      time_point now)
{
    auto& kept = idle_[target];
    const double share = repeatable ? repeatable_share : careful_share;
    while (!kept.empty()) {
        auto connection = std::move(kept.back());
        kept.pop_back();
        if (connection->is_usable(now, share))
            return connection;
        connection->cancel();
    }
    return open(target);
}

std::shared_ptr<backend_connection>
backend_pool::open(const boost::asio::ip::tcp::endpoint& target)
{
    ++opened_;
    return std::make_shared<backend_connection>(
        executor_, timers_, target, [this, target](const auto& connection) {
            auto& list = idle_[target];
            if (list.size() < most_idle)
                list.push_back(connection);
            else
                connection->cancel();
        });
}

bool backend_pool::has_idle(const boost::asio::ip::tcp::endpoint& target,
                            bool repeatable,
                            time_point now) const
{
    const auto found = idle_.find(target);
    const double share = repeatable ? repeatable_share : careful_share;
    return found != idle_.end() && !found->second.empty() &&
           found->second.back()->is_usable(now, share);
}

void backend_pool::sweep(time_point now)
{
    for (auto& [target, kept] : idle_) {
        std::erase_if(kept, [now](const auto& connection) {
            if (connection->is_usable(now, repeatable_share))
                return false;
            connection->cancel();
            return true;
        });
    }
    std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

} // namespace barleyfork
