#ifndef BARLEYFORK_TOOLS_BARLEYFORK_TABLES_HPP
#define BARLEYFORK_TOOLS_BARLEYFORK_TABLES_HPP

#include <boost/json/value.hpp>
#include <iosfwd>
#include <string>
#include <vector>

namespace barleyfork {

/// Prints a list of JSON objects as a table with a column for each key.
void print_table(std::ostream& out,
                 const std::string& title,
                 const boost::json::value& rows,
                 const std::vector<std::string>& columns);

/// Prints the spans of one trace as a tree.
void print_trace(std::ostream& out, const boost::json::value& spans);

} // namespace barleyfork

#endif
