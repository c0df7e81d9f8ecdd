#ifndef BARLEYFORK_DAEMON_SRC_APPLY_COORDINATOR_HPP
#define BARLEYFORK_DAEMON_SRC_APPLY_COORDINATOR_HPP

#include "control.hpp"
#include "daemon_context.hpp"
#include "table_duty.hpp"

#include <barleyfork/base/error.hpp>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace barleyfork {

/// What an operator asks for.
struct apply_request
{
    /// The declaration as TOML.
    std::string toml;
    std::string operator_name;
    std::optional<std::uint64_t> expected_revision;
    bool dry_run = false;
    /// Answer only when every live daemon has it in force.
    bool wait = false;
};

/// How it ended.
struct apply_result
{
    failure error;
    std::uint64_t revision = 0;
    /// What would change or has changed, a line each.
    std::vector<std::string> differences;
    /// Daemons that had not confirmed.
    std::vector<std::string> unconfirmed;
    /// With `wait`: true once it is in force on every listed daemon.
    bool in_force_everywhere = false;
};

/// Brings one declaration to acceptance: checked, staged, confirmed by every
/// listed daemon, then accepted by a conditional write. Runs on the operator
/// duty; several may run at once, and the table lets one win.
class apply_coordinator
{
public:
    apply_coordinator(daemon_context& context,
                      table_duty& table,
                      control& decisions);

    boost::asio::awaitable<apply_result> apply(apply_request request);

private:
    struct standing_head
    {
        failure error;
        configuration_head head;
        std::uint64_t version = 0;
    };

    boost::asio::awaitable<standing_head> read_head();
    boost::asio::awaitable<std::shared_ptr<const catalog>> current();
    boost::asio::awaitable<void>
    write_change(std::string base_digest,
                 const schema::deployment_record& next,
                 std::string digest);
    boost::asio::awaitable<std::vector<std::string>>
    missing(std::uint64_t number, bool accepted);
    boost::asio::awaitable<std::vector<std::string>>
    wait_for(std::uint64_t number, bool accepted, duration bound);
    boost::asio::awaitable<failure> write_head(configuration_head next,
                                               std::uint64_t& version);
    boost::asio::awaitable<void> tell(configuration_head head);
    boost::asio::awaitable<failure>
    stage_and_accept(const apply_request& request,
                     const std::string& digest,
                     standing_head standing,
                     apply_result& result);
    boost::asio::awaitable<void> record_history(const configuration_head& head);

    daemon_context& context_;
    table_duty& table_;
    control& control_;
};

} // namespace barleyfork

#endif
