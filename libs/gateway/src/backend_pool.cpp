#include "backend_pool.hpp"

namespace barleyfork {

namespace {

/// Fractions of a server's idle timeout up to which an idle connection is
/// reused, for requests that may and may not be sent twice.
constexpr double repeatable_fraction = 0.8;
constexpr double non_repeatable_fraction = 0.5;
/// The maximum number of idle connections to one server.
constexpr std::size_t max_idle_per_server = 16;

} // namespace

backend_pool::backend_pool(boost::asio::any_io_executor executor,
                           timer_queue& timers)
    : executor_(std::move(executor)), timers_(timers)
{
}

std::shared_ptr<backend_connection>
backend_pool::acquire(const boost::asio::ip::tcp::endpoint& target,
                      std::string_view request_id,
                      bool is_repeatable,
                      time_point now)
{
    auto& idle = idle_[target];
    const double fraction =
        is_repeatable ? repeatable_fraction : non_repeatable_fraction;
    for (auto at = idle.size(); at-- > 0;) {
        auto connection = idle[at];
        const bool is_usable = connection->is_usable(now, fraction);
        if (is_usable && connection->has_carried(request_id))
            continue;
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
        if (is_usable)
            return connection;
        connection->cancel();
    }
    return open(target);
}

std::shared_ptr<backend_connection>
backend_pool::open(const boost::asio::ip::tcp::endpoint& target)
{
    ++opened_count_;
    return std::make_shared<backend_connection>(
        executor_,
        timers_,
        target,
        opened_count_,
        [this, target](const auto& connection) {
            auto& idle = idle_[target];
            if (idle.size() < max_idle_per_server)
                idle.push_back(connection);
            else
                connection->cancel();
        });
}

bool backend_pool::has_idle(const boost::asio::ip::tcp::endpoint& target,
                            bool is_repeatable,
                            time_point now) const
{
    const auto found = idle_.find(target);
    const double fraction =
        is_repeatable ? repeatable_fraction : non_repeatable_fraction;
    return found != idle_.end() && !found->second.empty() &&
           found->second.back()->is_usable(now, fraction);
}

void backend_pool::close_expiring(time_point now)
{
    for (auto& [target, idle] : idle_) {
        std::erase_if(idle, [now](const auto& connection) {
            if (connection->is_usable(now, repeatable_fraction))
                return false;
            connection->cancel();
            return true;
        });
    }
    std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

} // namespace barleyfork
