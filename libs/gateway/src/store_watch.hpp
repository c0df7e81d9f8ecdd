#ifndef BARLEYFORK_GATEWAY_SRC_STORE_WATCH_HPP
#define BARLEYFORK_GATEWAY_SRC_STORE_WATCH_HPP

#include "gateway_context.hpp"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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

    /// Takes in changes of the list that the placement's holder passed on.
    void take_relayed(const std::vector<store_row>& rows);

    /// The holder's word on the list was whole and fresh at `now`.
    void list_relayed_at(time_point now) noexcept
    {
        relayed_at_ = now;
    }

    /// Reads the list at the next look: news of it may have been missed.
    void ask_for_list() noexcept
    {
        list_wanted_ = true;
    }

    /// This daemon passes changes of the list on from now on, or no more.
    void set_relaying(bool relaying);

    /// Changes that were not passed on yet.
    std::vector<store_row> take_relayed_rows();

    bool has_rows_to_relay() const noexcept
    {
        return !to_relay_.empty();
    }

    /// True where the list was read from the store just before `now`.
    bool list_is_fresh(time_point now) const noexcept;

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
    void take_changes(const std::vector<store_row>& rows, time_point now);
    bool is_list_due(time_point now) const;
    void end_round();
    std::optional<backend_entry> decode(const store_row& row) const;
    void log_leaving(const backend_entry& entry) const;
    void set_reachable(bool reachable, const failure& error);

    gateway_context& context_;
    std::string bytes_;
    bool reachable_ = true;
    /// The newest version of each row that was applied.
    std::map<std::string, std::uint64_t> row_versions_;
    bool relaying_ = false;
    std::vector<store_row> to_relay_;
    time_point read_at_{};
    time_point relayed_at_{};
    bool list_wanted_ = false;
};

} // namespace barleyfork

#endif
