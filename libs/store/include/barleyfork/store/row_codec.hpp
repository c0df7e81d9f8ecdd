#ifndef BARLEYFORK_STORE_ROW_CODEC_HPP
#define BARLEYFORK_STORE_ROW_CODEC_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/core/call_claim.hpp>
#include <barleyfork/core/configuration_state.hpp>
#include <barleyfork/core/lease.hpp>
#include <barleyfork/core/membership.hpp>
#include <barleyfork/core/memory_ledger.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// JSON encoding of the project's table rows and of the messages of the
/// platform and the engines. Decoders fail with `protocol_error`.

namespace barleyfork {

/// Prefix of all rows that daemons poll.
inline constexpr std::string_view control_prefix = "control/";
/// Key of the single row that names the configuration in force.
inline constexpr std::string_view configuration_key = "control/configuration";
/// Prefix of the lease rows; a cell's name follows.
inline constexpr std::string_view lease_prefix = "control/lease/";
/// Prefix of the ledger rows; a backend server's name follows.
inline constexpr std::string_view ledger_prefix = "control/ledger/";
/// Prefix of the rows that record each accepted file.
inline constexpr std::string_view history_prefix = "history/";

/// An engine's report with its number of outstanding requests.
struct engine_status
{
    engine_report report;
    std::uint32_t outstanding = 0;
};

std::string encode(const configuration_head& head);
failure decode(std::string_view text, configuration_head& out);

std::string encode(const lease_row& row);
failure decode(std::string_view text, lease_row& out);

std::string encode(const ledger_row& row);
failure decode(std::string_view text, ledger_row& out);

std::string encode(const claim_record& record);
failure decode(std::string_view text, claim_record& out);

std::string encode(const engine_order& order);

/// Decodes an engine's response to an order.
failure decode(std::string_view text, order_answer& out);

failure decode(std::string_view text, engine_status& out);

failure decode(std::string_view text, std::vector<listed_instance>& out);

} // namespace barleyfork

#endif
