#ifndef BARLEYFORK_DAEMON_SRC_APPLY_COORDINATOR_HPP
#define BARLEYFORK_DAEMON_SRC_APPLY_COORDINATOR_HPP

#include "control.hpp"
#include "daemon_context.hpp"
#include "table_worker.hpp"

#include <barleyfork/base/error.hpp>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace barleyfork {

/// An operator's request to apply a declaration.
struct apply_request
{
    /// The declaration as TOML.
    std::string toml;
    std::string operator_name;
    std::optional<std::uint64_t> expected_revision;
    bool dry_run = false;
    /// Respond only when the revision is in force on every live daemon, or
    /// after a timeout.
    bool wait = false;
};

/// The outcome of an apply request.
struct apply_result
{
    failure error;
    std::uint64_t revision = 0;
    /// Changes made, or with `dry_run` to be made, one per line.
    std::vector<std::string> differences;
    /// Daemons that had not confirmed the revision in time.
    std::vector<std::string> unconfirmed;
    /// With `wait`: true where the revision is in force on every listed
    /// daemon.
    bool in_force_everywhere = false;
};

/// Applies declarations: checks and stages a declaration, waits until every
/// listed daemon has confirmed it, then accepts it by a conditional write. Runs
/// on the operator worker. Several calls may run at once; the conditional
/// writes let only one succeed.
class apply_coordinator
{
public:
    apply_coordinator(daemon_context& context,
                      table_worker& table,
                      control& decisions);

    boost::asio::awaitable<apply_result> apply(apply_request request);

private:
    struct stored_head
    {
        failure error;
        configuration_head head;
        std::uint64_t version = 0;
    };

    boost::asio::awaitable<stored_head> read_head();
    boost::asio::awaitable<std::shared_ptr<const catalog>> catalog_in_force();
    boost::asio::awaitable<void>
    write_delta(std::string base_digest,
                const schema::deployment_record& next,
                std::string digest);
    boost::asio::awaitable<std::vector<std::string>>
    find_unconfirmed(std::uint64_t number, bool accepted);
    boost::asio::awaitable<std::vector<std::string>> wait_for_confirmations(
        std::uint64_t number, bool accepted, duration timeout);
    boost::asio::awaitable<failure> write_head(configuration_head next,
                                               std::uint64_t& version);
    boost::asio::awaitable<void> publish_head(configuration_head head);
    boost::asio::awaitable<failure>
    stage_and_accept(const apply_request& request,
                     const std::string& digest,
                     stored_head stored,
                     apply_result& result);
    boost::asio::awaitable<void> record_history(const configuration_head& head);

    daemon_context& context_;
    table_worker& table_;
    control& control_;
};

} // namespace barleyfork

#endif
