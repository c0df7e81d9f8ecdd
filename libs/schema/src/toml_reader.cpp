#include <barleyfork/schema/toml_reader.hpp>

#include "schema_check.hpp"

#include <barleyfork/schema/deployment_delta.hpp>

#include <barleyfork/schema/deployment_bfbs_generated.h>
#include <barleyfork/schema/gateway_bfbs_generated.h>
#include <barleyfork/schema/settings_bfbs_generated.h>

#include <flatbuffers/idl.h>
#include <fstream>
#include <sstream>

namespace barleyfork {

namespace {

failure
parse_text(std::string_view text, std::string_view source, toml::table& out)
{
    try {
        out = toml::parse(text, source);
        return {};
    }
    catch (const toml::parse_error& error) {
        std::ostringstream message;
        message << source << ", line " << error.source().begin.line << ": "
                << error.description();
        return make_failure(errc::invalid_input, message.str());
    }
}

std::string to_json(const toml::table& table)
{
    std::ostringstream out;
    out << toml::json_formatter(table);
    return out.str();
}

/// Parses and checks one record. `BinarySchema` is the generated class that
/// embeds the record's schema.
template <typename BinarySchema, typename Table, typename Record>
failure
parse_record(std::string_view text, std::string_view source, Record& out)
{
    toml::table table;
    if (auto result = parse_text(text, source, table))
        return result;
    const auto* schema = reflection::GetSchema(BinarySchema::data());
    if (auto result =
            check_table(table, *schema, *schema->root_table(), source))
        return result;
    flatbuffers::Parser parser;
    if (!parser.Deserialize(BinarySchema::data(), BinarySchema::size()) ||
        !parser.Parse(to_json(table).c_str()))
        return make_failure(errc::invalid_input,
                            std::string(source) + ": " + parser.error_);
    const auto* root =
        flatbuffers::GetRoot<Table>(parser.builder_.GetBufferPointer());
    out = Record();
    root->UnPackTo(&out);
    return {};
}

template <typename Record>
void create_if_absent(std::unique_ptr<Record>& record)
{
    if (!record)
        record = std::make_unique<Record>();
}

} // namespace

failure parse_settings(std::string_view toml,
                       std::string_view source,
                       schema::daemon_settings_record& out)
{
    auto result = parse_record<schema::daemon_settingsBinarySchema,
                               schema::daemon_settings>(toml, source, out);
    if (result)
        return result;
    create_if_absent(out.caller);
    create_if_absent(out.routing);
    create_if_absent(out.controller);
    create_if_absent(out.log);
    return {};
}

failure parse_gateway_settings(std::string_view toml,
                               std::string_view source,
                               schema::gateway_settings_record& out)
{
    auto result = parse_record<schema::gateway_settingsBinarySchema,
                               schema::gateway_settings>(toml, source, out);
    if (result)
        return result;
    create_if_absent(out.bounds);
    create_if_absent(out.placement);
    create_if_absent(out.log);
    return {};
}

failure parse_deployment(std::string_view toml,
                         std::string_view source,
                         schema::deployment_record& out)
{
    auto result =
        parse_record<schema::deploymentBinarySchema, schema::deployment>(
            toml, source, out);
    if (result)
        return result;
    create_if_absent(out.policy);
    sort_entries(out);
    return {};
}

std::string encode_deployment(const schema::deployment_record& deployment)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::deployment::Pack(builder, &deployment));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

failure decode_deployment(std::string_view bytes,
                          schema::deployment_record& out)
{
    flatbuffers::Verifier verifier(
        reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (!verifier.VerifyBuffer<schema::deployment>())
        return make_failure(errc::protocol_error,
                            "the bytes of the declaration are malformed");
    out = schema::deployment_record();
    flatbuffers::GetRoot<schema::deployment>(bytes.data())->UnPackTo(&out);
    create_if_absent(out.policy);
    return {};
}

failure read_file(const std::string& path, std::string& out)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return make_failure(errc::invalid_input,
                            path + ": the file cannot be opened");
    std::ostringstream text;
    text << in.rdbuf();
    out = text.str();
    return {};
}

} // namespace barleyfork
