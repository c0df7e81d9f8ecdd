#ifndef BARLEYFORK_GATEWAY_SRC_STORE_WATCH_HPP
#define BARLEYFORK_GATEWAY_SRC_STORE_WATCH_HPP

#include "gateway_context.hpp"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string_view>

namespace barleyfork {

/// Follows the operators' configuration and the list of backend servers in
/// the store. What is known stays in force while the store is away; a version
/// never goes back. Belongs to one duty.
class store_watch
{
public:
    explicit store_watch(gateway_context& context);

    boost::asio::awaitable<void> follow_configuration();
    boost::asio::awaitable<void> follow_servers();

    /// Takes in a configuration in the store's form, from the store or a
    /// peer; older versions are ignored.
    void take_configuration(std::string_view bytes, std::string_view source);

    /// The newest configuration in the store's form.
    const std::string& configuration_bytes() const noexcept
    {
        return bytes_;
    }

    /// False while the store does not answer this daemon.
    bool reachable() const noexcept
    {
        return reachable_;
    }

private:
    void take_rows(const store_read& read, bool whole);
    void take_list(const store_read& read, time_point now);
    void take_changes(const store_read& read, time_point now);
    std::optional<backend_entry> decode(const store_row& row) const;
    void log_leaving(const backend_entry& entry) const;
    void set_reachable(bool reachable, const failure& error);

    gateway_context& context_;
    std::string bytes_;
    bool reachable_ = true;
};

} // namespace barleyfork

#endif
