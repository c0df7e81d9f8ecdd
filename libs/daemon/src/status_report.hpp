#ifndef BARLEYFORK_DAEMON_SRC_STATUS_REPORT_HPP
#define BARLEYFORK_DAEMON_SRC_STATUS_REPORT_HPP

#include "control.hpp"
#include "daemon_context.hpp"

#include <string>

namespace barleyfork {

/// JSON documents for the operators' address; called on the control worker.
/// None of them contains secrets or key digests.

/// Describes the configuration in force.
std::string describe_configuration(const control& decisions);

/// Describes daemons, backend servers, residency, ledger and leases.
std::string describe_status(const daemon_context& context,
                            const control& decisions,
                            time_point now);

/// Describes where a model is resident and the demand for it; empty if it is
/// not declared.
std::string
describe_model(const control& decisions, const model_id& model, time_point now);

} // namespace barleyfork

#endif
