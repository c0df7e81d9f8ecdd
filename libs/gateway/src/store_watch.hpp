#ifndef BARLEYFORK_GATEWAY_SRC_STORE_WATCH_HPP
#define BARLEYFORK_GATEWAY_SRC_STORE_WATCH_HPP

#include "gateway_context.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/core/list_follower.hpp>
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

    /// Takes in changes of the list that another daemon passed on, and what
    /// it claims of them; a claim since 0 claims nothing.
    void take_told(const std::vector<store_row>& rows, const list_claim& claim);

    /// This daemon reads the list for all from now on, or no more.
    void set_holder(bool holder);

    /// Changes that were not passed on yet; `since` is the version of the
    /// store after which they are complete.
    struct relayed_rows
    {
        std::uint64_t since = 0;
        std::vector<store_row> rows;
    };
    relayed_rows take_relayed_rows();

    bool has_rows_to_relay() const noexcept
    {
        return !to_relay_.empty();
    }

    /// Changes after a version of the store, all rows after 0; nothing where
    /// rows that were dropped since then are not known.
    std::optional<std::vector<store_row>>
    rows_after(std::uint64_t position) const;

    /// Called where changes were missed that a reader of the failure domain
    /// may know.
    void on_missed(std::function<void()> handler)
    {
        on_missed_ = std::move(handler);
    }

    /// Called when this daemon has read the list.
    void on_list_read(std::function<void()> handler)
    {
        on_list_read_ = std::move(handler);
    }

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
        return list_.position();
    }
    /// The time as of which the list is known.
    time_point list_known_at() const noexcept
    {
        return list_.known_at();
    }

    /// A neighbour knows what is known here, up to `position`.
    void configuration_known_to(std::uint64_t position);

    /// The whole list as a neighbour has it, which was read at `position`.
    void take_list_of_neighbour(const std::vector<store_row>& rows,
                                const list_claim& claim);

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

    bool decide_reading(time_point now);
    bool waits_for_neighbour(bool known, time_point now);
    std::int64_t failure_pause_ms();
    bool take_list(const std::vector<store_row>& rows,
                   std::uint64_t position,
                   time_point now);
    bool take_changes(const std::vector<store_row>& rows,
                      log_level listed_level,
                      time_point now);
    void pass_on_from_here();
    list_role role() const noexcept;
    bool is_list_due(time_point now);
    boost::asio::awaitable<bool> read_list(time_point began);
    void end_round();
    std::optional<backend_entry> decode(const store_row& row,
                                        log_level listed_level) const;
    void log_change(const backend_entry& entry, log_level listed_level) const;
    void set_reachable(bool reachable, const failure& error);

    gateway_context& context_;
    reader_choice readers_;
    time_point started_at_;
    std::function<void()> on_configuration_;
    std::string bytes_;
    table_position configuration_position_;
    list_follower list_;
    bool reachable_ = true;
    /// Calls in a row that failed.
    int failures_ = 0;
    /// A row of the list as it was applied.
    struct applied_row
    {
        /// The newest version of it; a dropped one too.
        store_row row;
        /// The version that told more than a heartbeat.
        std::uint64_t news_version = 0;
    };
    std::map<std::string, applied_row> rows_;
    /// Rows that were dropped after this version of the store are known.
    std::optional<std::uint64_t> drops_known_since_;
    bool holder_ = false;
    std::uint64_t relayed_since_ = 0;
    std::vector<store_row> to_relay_;
    std::function<void()> on_missed_;
    std::function<void()> on_list_read_;
};

} // namespace barleyfork

#endif
