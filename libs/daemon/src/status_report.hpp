#ifndef BARLEYFORK_DAEMON_SRC_STATUS_REPORT_HPP
#define BARLEYFORK_DAEMON_SRC_STATUS_REPORT_HPP

#include "control.hpp"
#include "daemon_context.hpp"

#include <string>

namespace barleyfork {

/// JSON documents for the operators' address; called on the control duty.
/// Secrets and key digests stand in none of them.

/// The configuration in force.
std::string describe_configuration(const control& decisions);

/// Daemons, backend servers, residency, ledger and leases.
std::string describe_status(const daemon_context& context,
                            const control& decisions,
                            time_point now);

/// Where a model is resident and what is asked of it; empty where it is not
/// declared.
std::string
describe_model(const control& decisions, const model_id& model, time_point now);

} // namespace barleyfork

#endif
