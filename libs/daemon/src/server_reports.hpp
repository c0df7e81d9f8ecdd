#ifndef BARLEYFORK_DAEMON_SRC_SERVER_REPORTS_HPP
#define BARLEYFORK_DAEMON_SRC_SERVER_REPORTS_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/store/row_codec.hpp>

#include <map>
#include <optional>

namespace barleyfork {

/// The newest report of each backend server that this daemon polls; lives on
/// the control duty.
class server_reports
{
public:
    /// Sets how old a report may be to say something about now.
    void set_freshness(duration freshness) noexcept
    {
        freshness_ = freshness;
    }

    /// Takes in a report; true where routing depends on what changed.
    bool
    add(const server_id& server, const engine_status& status, time_point now);

    /// The newest report while it is fresh, or null.
    const engine_status* fresh(const server_id& server, time_point now) const;

    /// True where the server's newest word was that it is leaving.
    bool leaving(const server_id& server) const;

    /// True where freshness of any server changed since the last call.
    bool take_expired(time_point now);

private:
    struct entry
    {
        engine_status status;
        time_point at{};
        bool fresh = true;
    };

    duration freshness_{4000};
    std::map<server_id, entry> entries_;
};

} // namespace barleyfork

#endif
