#ifndef BARLEYFORK_GATEWAY_SRC_PEER_RECORDS_HPP
#define BARLEYFORK_GATEWAY_SRC_PEER_RECORDS_HPP

#include "peer_updates.hpp"

#include <barleyfork/core/crash_quarantine.hpp>
#include <barleyfork/core/request_limits.hpp>
#include <barleyfork/core/server_process.hpp>
#include <barleyfork/core/table_follower.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace barleyfork {

/// Conversions between the gateway's types and the records of peer messages.
std::unique_ptr<schema::server_news_record>
to_record(const server_residents& server);
resident_state to_resident_state(const schema::server_news_record& record);

std::unique_ptr<schema::adapter_need_record>
to_record(const std::pair<model_id, std::string>& adapter);

/// Outstanding work on servers; the records count tokens in hundreds.
std::vector<schema::outstanding_work>
to_records(std::span<const peer_work> work);
std::vector<peer_work>
to_work(std::span<const schema::outstanding_work> records);

std::unique_ptr<schema::listed_row_record> to_record(const store_row& row);
std::vector<store_row> extract_rows(const schema::peer_message_record& message);

std::unique_ptr<schema::leaving_server_record>
to_record(const server_process& process);

/// Request limits that servers named.
std::unique_ptr<schema::request_limit_record>
to_record(const limit_observation& observation, time_point now);
limit_observation to_observation(const schema::request_limit_record& record,
                                 time_point now);

/// Crashes attributed to requests.
std::unique_ptr<schema::quarantine_entry_record>
to_record(const reported_blame& reported);
std::vector<reported_blame>
extract_blames(const schema::peer_message_record& message);

/// Returns the time since `known_at` in milliseconds, at most one hour.
std::uint32_t age_ms(time_point known_at, time_point now);

/// Returns the store versions up to which the sender knows all changes.
store_version
extract_configuration_position(const schema::peer_message_record& message);
store_version extract_list_position(const schema::peer_message_record& message);

/// Returns the claim on the server list in a message received at `now`.
table_claim extract_list_claim(const schema::peer_message_record& message,
                               time_point now);

} // namespace barleyfork

#endif
