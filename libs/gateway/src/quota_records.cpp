#include "quota_records.hpp"

#include <cmath>

namespace barleyfork {

namespace {

/// Returns the number if it can be a number of tokens, otherwise 0.
double to_tokens(float number)
{
    return std::isfinite(number) && number > 0.0F ? number : 0.0;
}

/// Rounds down, so that no tokens arise on the way.
float from_tokens(double tokens)
{
    const auto number = static_cast<float>(tokens);
    return number > tokens ? std::nextafter(number, 0.0F) : number;
}

} // namespace

std::unique_ptr<schema::token_transfer_record>
to_record(const quota_request& request)
{
    auto record = std::make_unique<schema::token_transfer_record>();
    record->request_number = request.number;
    record->counted = request.is_counted;
    record->daemons = static_cast<std::uint32_t>(request.daemons);
    if (request.echo) {
        record->echo_ms = request.echo->stamp.time_since_epoch().count();
        record->echo_age_ms =
            static_cast<std::uint32_t>(request.echo->age.count());
    }
    for (const auto& need : request.needs) {
        auto entry = std::make_unique<schema::account_tokens_record>();
        entry->account = need.account;
        entry->transferred = from_tokens(need.transferred);
        entry->waiting = from_tokens(need.waiting);
        entry->first = from_tokens(need.first);
        entry->wanted = from_tokens(need.wanted);
        record->accounts.push_back(std::move(entry));
    }
    return record;
}

std::unique_ptr<schema::token_transfer_record>
to_record(const quota_grant& grant)
{
    auto record = std::make_unique<schema::token_transfer_record>();
    record->request_number = grant.number;
    record->sent_ms = grant.stamp.time_since_epoch().count();
    record->daemons = static_cast<std::uint32_t>(grant.daemons);
    for (const auto& share : grant.shares) {
        auto entry = std::make_unique<schema::account_tokens_record>();
        entry->account = share.account;
        entry->granted = from_tokens(share.granted);
        entry->available_in_ms =
            static_cast<std::uint32_t>(share.available_in.count());
        record->accounts.push_back(std::move(entry));
    }
    return record;
}

quota_request to_quota_request(const schema::token_transfer_record& record)
{
    quota_request request;
    request.number = record.request_number;
    request.is_counted = record.counted;
    request.daemons = record.daemons;
    if (record.echo_ms != 0)
        request.echo = quota_echo{time_point(duration(record.echo_ms)),
                                  duration(record.echo_age_ms)};
    for (const auto& entry : record.accounts)
        request.needs.push_back({entry->account,
                                 to_tokens(entry->transferred),
                                 to_tokens(entry->waiting),
                                 to_tokens(entry->first),
                                 to_tokens(entry->wanted)});
    return request;
}

quota_grant to_quota_grant(const schema::token_transfer_record& record)
{
    quota_grant grant;
    grant.number = record.request_number;
    grant.stamp = time_point(duration(record.sent_ms));
    grant.daemons = record.daemons;
    for (const auto& entry : record.accounts)
        grant.shares.push_back({entry->account,
                                to_tokens(entry->granted),
                                duration(entry->available_in_ms)});
    return grant;
}

} // namespace barleyfork
