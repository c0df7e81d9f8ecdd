#include <barleyfork/scenario/script.hpp>

#include <algorithm>
#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/spirit/home/x3.hpp>
#include <sstream>

BOOST_FUSION_ADAPT_STRUCT(barleyfork::scenario::argument, name, value)

namespace barleyfork::scenario {

namespace x3 = boost::spirit::x3;

namespace {

struct parsed_line
{
    std::string verb;
    std::vector<argument> arguments;
};

const auto name_character = x3::alnum | x3::char_("_");
const auto value_character = x3::graph - x3::char_("=\"#");
const x3::rule<struct name_rule, std::string> name = "name";
const x3::rule<struct value_rule, std::string> value = "value";
const x3::rule<struct named_rule, argument> named = "name=value";
const x3::rule<struct bare_rule, argument> bare = "value alone";

const x3::rule<struct either_rule, argument> either = "argument";

const auto name_def = x3::lexeme[+name_character];
const auto value_def =
    x3::lexeme['"' >> *(x3::char_ - '"') >> '"'] | x3::lexeme[+value_character];
const auto named_def = name >> '=' >> value;
const auto bare_def = x3::attr(std::string()) >> value;

const auto either_def = named | bare;

BOOST_SPIRIT_DEFINE(name, value, named, bare, either)

bool parse_line(const std::string& text, parsed_line& out)
{
    auto first = text.begin();
    const auto arguments = *either;
    const auto take_verb = [&out](auto& context) {
        out.verb = x3::_attr(context);
    };
    const auto take_arguments = [&out](auto& context) {
        out.arguments = x3::_attr(context);
    };
    const bool matched =
        x3::phrase_parse(first,
                         text.end(),
                         name[take_verb] >> arguments[take_arguments],
                         x3::blank);
    return matched && first == text.end();
}

std::string without_comment(const std::string& line)
{
    const auto mark = line.find('#');
    auto text = line.substr(0, mark);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.pop_back();
    return text;
}

} // namespace

std::string statement::subject() const
{
    return text("", "");
}

std::string statement::text(std::string_view wanted,
                            std::string_view fallback) const
{
    const auto found = std::find_if(
        arguments.begin(), arguments.end(), [wanted](const auto& entry) {
            return entry.name == wanted;
        });
    return found == arguments.end() ? std::string(fallback) : found->value;
}

std::int64_t statement::number(std::string_view wanted,
                               std::int64_t fallback) const
{
    const auto value = text(wanted, "");
    return value.empty() ? fallback : std::stoll(value);
}

bool statement::has(std::string_view wanted) const
{
    return std::any_of(
        arguments.begin(), arguments.end(), [wanted](const auto& entry) {
            return entry.name == wanted;
        });
}

failure parse_script(std::string_view text, std::vector<statement>& out)
{
    std::istringstream in{std::string(text)};
    std::size_t number = 0;
    for (std::string line; std::getline(in, line);) {
        ++number;
        const auto code = without_comment(line);
        if (code.empty())
            continue;
        parsed_line parsed;
        if (!parse_line(code, parsed))
            return make_failure(errc::invalid_input,
                                "line " + std::to_string(number) +
                                    ": write verb [value] [name=value ...]");
        out.push_back({parsed.verb, std::move(parsed.arguments), number});
    }
    return {};
}

} // namespace barleyfork::scenario
