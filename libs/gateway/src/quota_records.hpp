#ifndef BARLEYFORK_GATEWAY_SRC_QUOTA_RECORDS_HPP
#define BARLEYFORK_GATEWAY_SRC_QUOTA_RECORDS_HPP

#include <barleyfork/core/quota_messages.hpp>
#include <barleyfork/schema/peer_generated.h>

#include <memory>

namespace barleyfork {

/// Conversions between requests for tokens or grants and the records of peer
/// messages. Numbers that no daemon sends count as zero.
std::unique_ptr<schema::token_transfer_record>
to_record(const quota_request& request);
std::unique_ptr<schema::token_transfer_record>
to_record(const quota_grant& grant);
quota_request to_quota_request(const schema::token_transfer_record& record);
quota_grant to_quota_grant(const schema::token_transfer_record& record);

} // namespace barleyfork

#endif
