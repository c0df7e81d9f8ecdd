#ifndef BARLEYFORK_GATEWAY_SRC_STORE_WATCH_HPP
#define BARLEYFORK_GATEWAY_SRC_STORE_WATCH_HPP

#include "gateway_context.hpp"

#include <barleyfork/core/reader_choice.hpp>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace barleyfork {

/// Follows the operators' configuration and the list of backend servers, in
/// the store or by a neighbour's word. What is known stays in force while the
/// store is away; a version never goes back. Belongs to one duty.
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

    /// The holder's word on the list was whole and fresh at `now`; the holder
    /// knew all changes up to `position` of the store.
    void list_relayed_at(time_point now, std::uint64_t position) noexcept;

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

    /// Called whenever a newer configuration came.
    void on_configuration(std::function<void()> handler)
    {
        on_configuration_ = std::move(handler);
    }

    /// Who of the failure domain reads the store.
    reader_choice& readers() noexcept
    {
        return readers_;
    }

    /// True while this daemon follows the store for its neighbours too.
    bool follows() const noexcept
    {
        return readers_.is_reader() && reachable_ && !context_.drain.draining();
    }

    /// Up to which versions of the store all changes of the configuration
    /// and of the list are known here; 0 where none are.
    std::uint64_t configuration_position() const noexcept
    {
        return configuration_position_.version;
    }
    std::uint64_t list_position() const noexcept
    {
        return list_position_.version;
    }

    /// A neighbour knows what is known here, up to `position`.
    void configuration_known_to(std::uint64_t position);

    /// The whole list as a neighbour has it, which was read at `position`.
    void take_list_of_neighbour(const std::vector<store_row>& rows,
                                std::uint64_t position);

    /// All rows of the list.
    std::vector<store_row> list_rows() const;

    /// False while the store does not answer this daemon.
    bool reachable() const noexcept
    {
        return reachable_;
    }

private:
    /// How far one table has been read.
    struct table_position
    {
        std::uint64_t version = 0;
        bool known = false;

        /// Takes in an answer; false for one from the store's past.
        bool advance(const store_read& read);
    };

    bool waits_for_neighbour(bool known, time_point now);
    std::int64_t failure_pause_ms();
    void take_list(const std::vector<store_row>& rows,
                   std::uint64_t position,
                   time_point now);
    void take_changes(const std::vector<store_row>& rows, time_point now);
    bool is_list_due(time_point now) const;
    void end_round();
    std::optional<backend_entry> decode(const store_row& row) const;
    void log_leaving(const backend_entry& entry) const;
    void set_reachable(bool reachable, const failure& error);

    gateway_context& context_;
    reader_choice readers_;
    time_point started_at_;
    std::function<void()> on_configuration_;
    std::string bytes_;
    table_position configuration_position_;
    table_position list_position_;
    bool reachable_ = true;
    /// Calls in a row that failed.
    int failures_ = 0;
    /// The newest version of each row that was applied; dropped ones too.
    std::map<std::string, store_row> rows_;
    bool relaying_ = false;
    std::vector<store_row> to_relay_;
    time_point read_at_{};
    time_point relayed_at_{};
    bool list_wanted_ = false;
    bool reading_list_ = false;
};

} // namespace barleyfork

#endif
