#include "schema_check.hpp"

#include <cstdlib>
#include <sstream>
#include <vector>

namespace barleyfork {

namespace {

struct check_context
{
    const reflection::Schema& schema;
    std::string_view source;
};

std::string describe(const toml::node& node)
{
    std::ostringstream out;
    node.visit([&out](const auto& value) {
        if constexpr (toml::is_table<decltype(value)>)
            out << "a table";
        else if constexpr (toml::is_array<decltype(value)>)
            out << "an array";
        else
            out << value;
    });
    return out.str();
}

failure reject(const check_context& context,
               const toml::node& node,
               std::string_view key,
               std::string_view allowed)
{
    std::ostringstream out;
    out << context.source << ", line " << node.source().begin.line << ", key "
        << key << ": given " << describe(node) << ", allowed " << allowed;
    return make_failure(errc::invalid_input, out.str());
}

std::string attribute(const reflection::Field& field, const char* name)
{
    if (field.attributes() == nullptr)
        return {};
    const auto* entry = field.attributes()->LookupByKey(name);
    return entry == nullptr ? std::string() : entry->value()->str();
}

std::string field_names(const reflection::Object& object)
{
    std::string names;
    for (const auto* field : *object.fields())
        names += (names.empty() ? "" : ", ") + field->name()->str();
    return names;
}

bool is_integer(reflection::BaseType type)
{
    return type >= reflection::UType && type <= reflection::ULong &&
           type != reflection::Bool;
}

bool is_floating(reflection::BaseType type)
{
    return type == reflection::Float || type == reflection::Double;
}

failure check_number(const check_context& context,
                     const toml::node& node,
                     const reflection::Field& field)
{
    const auto key = field.name()->string_view();
    const bool expects_integer = is_integer(field.type()->base_type());
    if (expects_integer ? !node.is_integer() : !node.is_number())
        return reject(context,
                      node,
                      key,
                      expects_integer ? "a whole number" : "a number");
    const auto min_text = attribute(field, "min");
    const auto max_text = attribute(field, "max");
    const double value = node.value<double>().value_or(0.0);
    const double min_value =
        min_text.empty() ? 0.0 : std::strtod(min_text.c_str(), {});
    const double max_value =
        max_text.empty() ? 65535.0 : std::strtod(max_text.c_str(), {});
    if (value >= min_value && value <= max_value)
        return {};
    std::ostringstream allowed;
    allowed << min_value << " to " << std::fixed;
    allowed.precision(0);
    allowed << max_value;
    return reject(context, node, key, allowed.str());
}

bool is_one_of(std::string_view value, const std::string& allowed_values)
{
    std::istringstream in(allowed_values);
    for (std::string word; in >> word;)
        if (word == value)
            return true;
    return false;
}

failure check_string(const check_context& context,
                     const toml::node& node,
                     const reflection::Field& field)
{
    const auto key = field.name()->string_view();
    const auto value = node.value<std::string_view>();
    if (!node.is_string() || !value)
        return reject(context, node, key, "a string");
    if (field.required() && value->empty())
        return reject(context, node, key, "a string that is not empty");
    const auto allowed_values = attribute(field, "one_of");
    if (!allowed_values.empty() && !is_one_of(*value, allowed_values))
        return reject(context, node, key, "one of: " + allowed_values);
    return {};
}

failure check_object(const check_context& context,
                     const toml::table& table,
                     const reflection::Object& object,
                     std::string_view name);

failure check_vector(const check_context& context,
                     const toml::node& node,
                     const reflection::Field& field)
{
    const auto key = field.name()->string_view();
    const auto* array = node.as_array();
    if (array == nullptr)
        return reject(context, node, key, "an array");
    const bool has_tables = field.type()->element() == reflection::Obj;
    for (const auto& element : *array) {
        if (!has_tables && !element.is_string())
            return reject(context, element, key, "an array of strings");
        if (!has_tables)
            continue;
        if (!element.is_table())
            return reject(context, element, key, "an array of tables");
        const auto* object =
            context.schema.objects()->Get(field.type()->index());
        auto result = check_object(context, *element.as_table(), *object, key);
        if (result)
            return result;
    }
    return {};
}

failure check_field(const check_context& context,
                    const toml::node& node,
                    const reflection::Field& field)
{
    const auto key = field.name()->string_view();
    const auto type = field.type()->base_type();
    if (type == reflection::Bool)
        return node.is_boolean() ? failure{}
                                 : reject(context, node, key, "true or false");
    if (is_integer(type) || is_floating(type))
        return check_number(context, node, field);
    if (type == reflection::String)
        return check_string(context, node, field);
    if (type == reflection::Vector)
        return check_vector(context, node, field);
    if (!node.is_table())
        return reject(context, node, key, "a table");
    const auto* object = context.schema.objects()->Get(field.type()->index());
    return check_object(context, *node.as_table(), *object, key);
}

failure check_required(const check_context& context,
                       const toml::table& table,
                       const reflection::Object& object,
                       std::string_view name)
{
    for (const auto* field : *object.fields()) {
        if (!field->required() || table.contains(field->name()->string_view()))
            continue;
        std::ostringstream out;
        out << context.source << ", line " << table.source().begin.line
            << ", key " << field->name()->string_view() << ": given nothing, "
            << "allowed a value (it is required in " << name << ")";
        return make_failure(errc::invalid_input, out.str());
    }
    return {};
}

failure check_object(const check_context& context,
                     const toml::table& table,
                     const reflection::Object& object,
                     std::string_view name)
{
    for (const auto& [key, node] : table) {
        const std::string text(key.str());
        const auto* field = object.fields()->LookupByKey(text.c_str());
        if (field == nullptr)
            return reject(
                context, node, text, "one of: " + field_names(object));
        auto result = check_field(context, node, *field);
        if (result)
            return result;
    }
    return check_required(context, table, object, name);
}

} // namespace

failure check_table(const toml::table& table,
                    const reflection::Schema& schema,
                    const reflection::Object& object,
                    std::string_view source)
{
    const check_context context{schema, source};
    return check_object(context, table, object, "the file");
}

} // namespace barleyfork
