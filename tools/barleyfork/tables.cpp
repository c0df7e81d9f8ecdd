#include "tables.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <iomanip>
#include <map>
#include <ostream>

namespace barleyfork {

namespace json = boost::json;

namespace {

std::string to_text(const json::value& value)
{
    if (value.is_string())
        return json::value_to<std::string>(value);
    if (value.is_array()) {
        std::string text;
        for (const auto& entry : value.as_array()) {
            if (!text.empty())
                text += ',';
            text += to_text(entry);
        }
        return text;
    }
    return json::serialize(value);
}

std::string cell_of(const json::value& row, const std::string& column)
{
    const auto* found = row.as_object().if_contains(column);
    return found == nullptr ? "-" : to_text(*found);
}

void print_span(std::ostream& out,
                const json::value& span,
                const std::multimap<std::string, const json::value*>& children,
                std::size_t depth)
{
    out << std::string(depth * 2, ' ') << to_text(span.at("name")) << "  "
        << to_text(span.at("duration_ms")) << " ms  "
        << to_text(span.at("note")) << "\n";
    const auto range = children.equal_range(to_text(span.at("span")));
    for (auto child = range.first; child != range.second; ++child)
        print_span(out, *child->second, children, depth + 1);
}

} // namespace

void print_table(std::ostream& out,
                 const std::string& title,
                 const json::value& rows,
                 const std::vector<std::string>& columns)
{
    out << title << "\n";
    std::vector<std::size_t> widths;
    for (const auto& column : columns) {
        auto width = column.size();
        for (const auto& row : rows.as_array())
            width = std::max(width, cell_of(row, column).size());
        widths.push_back(width);
    }
    for (std::size_t i = 0; i < columns.size(); ++i)
        out << "  " << std::left << std::setw(static_cast<int>(widths[i]))
            << columns[i];
    out << "\n";
    for (const auto& row : rows.as_array()) {
        for (std::size_t i = 0; i < columns.size(); ++i)
            out << "  " << std::left << std::setw(static_cast<int>(widths[i]))
                << cell_of(row, columns[i]);
        out << "\n";
    }
}

void print_trace(std::ostream& out, const json::value& spans)
{
    std::multimap<std::string, const json::value*> children;
    std::map<std::string, bool> known;
    for (const auto& span : spans.as_array()) {
        known[to_text(span.at("span"))] = true;
        children.emplace(to_text(span.at("parent")), &span);
    }
    for (const auto& span : spans.as_array())
        if (!known.contains(to_text(span.at("parent"))))
            print_span(out, span, children, 0);
}

} // namespace barleyfork
