#ifndef BARLEYFORK_LOGS_SRC_NOT_RUN_PROOF_HPP
#define BARLEYFORK_LOGS_SRC_NOT_RUN_PROOF_HPP

#include <barleyfork/logs/log_line.hpp>

#include <span>
#include <string>

namespace barleyfork {

/// Returns why a request that was refused was held not to have run, from its
/// own lines; empty if its outcome promises nothing of the kind.
std::string describe_not_run_proof(std::span<const log_line> lines);

} // namespace barleyfork

#endif
