#ifndef BARLEYFORK_DAEMON_SRC_SERVER_REPORTS_HPP
#define BARLEYFORK_DAEMON_SRC_SERVER_REPORTS_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/store/row_codec.hpp>

#include <map>
#include <optional>

namespace barleyfork {

/// The newest report of each backend server that this daemon polls. Runs on
/// the control worker; not thread-safe.
class server_reports
{
public:
    /// Sets the age from which a report is stale.
    void set_freshness_period(duration freshness) noexcept
    {
        freshness_period_ = freshness;
    }

    /// Stores a report; returns true if a change in it affects routing.
    bool
    add(const server_id& server, const engine_status& status, time_point now);

    /// Returns the newest report, or null if it is stale or missing.
    const engine_status* fresh(const server_id& server, time_point now) const;

    /// Returns true if the server's newest report announced its shutdown.
    bool leaving(const server_id& server) const;

    /// Marks reports that have become stale; returns true if any has since the
    /// last call.
    bool mark_expired(time_point now);

private:
    struct entry
    {
        engine_status status;
        time_point at{};
        bool fresh = true;
    };

    duration freshness_period_{4000};
    std::map<server_id, entry> entries_;
};

} // namespace barleyfork

#endif
