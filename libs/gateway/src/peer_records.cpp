#include "peer_records.hpp"

#include <algorithm>

namespace barleyfork {

namespace {

constexpr std::uint64_t tokens_per_unit = 100;
/// The limit in the record of a process that named none.
constexpr double no_limit = -1.0;

std::uint16_t clamp_to_uint16(std::uint64_t number)
{
    constexpr std::uint64_t max_value = 65535;
    return static_cast<std::uint16_t>(std::min(number, max_value));
}

store_row to_row(const schema::listed_row_record& record)
{
    store_row row;
    row.key = record.key;
    row.value.assign(record.value.begin(), record.value.end());
    row.version = {record.version, record.era};
    row.deleted = record.deleted;
    return row;
}

} // namespace

std::unique_ptr<schema::server_news_record>
to_record(const server_residents& server)
{
    auto made = std::make_unique<schema::server_news_record>();
    auto& record = *made;
    record.server = server.server.value();
    record.started_ms = server.resident.started_ms;
    for (const auto& source : server.resident.models) {
        auto model = std::make_unique<schema::resident_news_record>();
        model->model = source.model.value();
        model->ready = source.ready;
        model->adapters = source.adapters;
        record.models.push_back(std::move(model));
    }
    return made;
}

resident_state to_resident_state(const schema::server_news_record& record)
{
    resident_state resident;
    resident.started_ms = record.started_ms;
    for (const auto& model : record.models)
        resident.models.push_back(
            {model_id(model->model), model->ready, model->adapters});
    return resident;
}

std::unique_ptr<schema::adapter_need_record>
to_record(const std::pair<model_id, std::string>& adapter)
{
    auto record = std::make_unique<schema::adapter_need_record>();
    record->model = adapter.first.value();
    record->adapter = adapter.second;
    return record;
}

std::unique_ptr<schema::quarantine_entry_record>
to_record(const reported_blame& reported)
{
    constexpr std::int64_t max_age_ms = UINT32_MAX;
    auto record = std::make_unique<schema::quarantine_entry_record>();
    record->fingerprint = reported.blame.fingerprint;
    record->crash = reported.blame.crash;
    record->age_ms = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(reported.age.count(), 0, max_age_ms));
    return record;
}

std::unique_ptr<schema::leaving_server_record>
to_record(const server_process& process)
{
    auto record = std::make_unique<schema::leaving_server_record>();
    record->server = process.server.value();
    record->started_ms = process.started_ms;
    return record;
}

std::vector<reported_blame>
extract_blames(const schema::peer_message_record& message)
{
    std::vector<reported_blame> blames;
    for (const auto& entry : message.quarantine)
        blames.push_back(
            {{entry->fingerprint, entry->crash}, duration(entry->age_ms)});
    return blames;
}

std::uint32_t age_ms(time_point known_at, time_point now)
{
    constexpr std::int64_t max_age_ms = 3600000;
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>((now - known_at).count(), 0, max_age_ms));
}

table_claim extract_list_claim(const schema::peer_message_record& message,
                               time_point now)
{
    return {{message.list_since, message.list_since_era},
            extract_list_position(message),
            now - duration(message.list_age_ms)};
}

store_version
extract_configuration_position(const schema::peer_message_record& message)
{
    return {message.configuration_position, message.configuration_era};
}

store_version extract_list_position(const schema::peer_message_record& message)
{
    return {message.list_position, message.list_era};
}

std::unique_ptr<schema::request_limit_record>
to_record(const limit_observation& observation, time_point now)
{
    auto record = std::make_unique<schema::request_limit_record>();
    record->server = observation.process.server.value();
    record->started_ms = observation.process.started_ms;
    record->per_second = observation.per_second.value_or(no_limit);
    record->age_ms = age_ms(observation.observed_at, now);
    return record;
}

limit_observation to_observation(const schema::request_limit_record& record,
                                 time_point now)
{
    limit_observation observation;
    observation.process = {server_id(record.server), record.started_ms};
    if (record.per_second >= 0.0)
        observation.per_second = record.per_second;
    observation.observed_at = now - duration(record.age_ms);
    return observation;
}

std::vector<schema::outstanding_work>
to_records(std::span<const peer_work> work)
{
    std::vector<schema::outstanding_work> records;
    for (const auto& entry : work) {
        const auto& tokens = entry.tokens.by_class;
        records.emplace_back(entry.server,
                             clamp_to_uint16(entry.requests),
                             clamp_to_uint16(tokens[0] / tokens_per_unit),
                             clamp_to_uint16(tokens[1] / tokens_per_unit),
                             clamp_to_uint16(tokens[2] / tokens_per_unit));
    }
    return records;
}

std::vector<peer_work>
to_work(std::span<const schema::outstanding_work> records)
{
    std::vector<peer_work> work;
    for (const auto& record : records)
        work.push_back({record.server_hash(),
                        record.requests(),
                        {{record.hundred_tokens_0() * tokens_per_unit,
                          record.hundred_tokens_1() * tokens_per_unit,
                          record.hundred_tokens_2() * tokens_per_unit}}});
    return work;
}

std::unique_ptr<schema::listed_row_record> to_record(const store_row& row)
{
    auto record = std::make_unique<schema::listed_row_record>();
    record->key = row.key;
    record->value.assign(row.value.begin(), row.value.end());
    record->version = row.version.number();
    record->era = row.version.era();
    record->deleted = row.deleted;
    return record;
}

std::vector<store_row> extract_rows(const schema::peer_message_record& message)
{
    std::vector<store_row> rows;
    for (const auto& row : message.rows)
        rows.push_back(to_row(*row));
    return rows;
}

} // namespace barleyfork
