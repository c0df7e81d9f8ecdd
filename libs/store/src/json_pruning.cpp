#include "json_pruning.hpp"

namespace barleyfork {

namespace {

/// Follows strings, in which brackets have no meaning.
class string_tracker
{
public:
    /// Processes the next character. Returns whether it belongs to a string,
    /// quotes included.
    bool is_in_string(char next) noexcept
    {
        const bool was_in_string = in_string_;
        if (is_escaped_)
            is_escaped_ = false;
        else if (in_string_ && next == '\\')
            is_escaped_ = true;
        else if (next == '"')
            in_string_ = !in_string_;
        return was_in_string || in_string_;
    }

private:
    bool in_string_ = false;
    bool is_escaped_ = false;
};

} // namespace

std::string prune_nesting(std::string_view text, std::size_t max_depth)
{
    std::string pruned;
    pruned.reserve(text.size());
    string_tracker strings;
    std::size_t depth = 0;
    for (const char next : text) {
        const bool is_text = strings.is_in_string(next);
        const bool opens = !is_text && (next == '{' || next == '[');
        const bool closes = !is_text && (next == '}' || next == ']');
        if (opens && depth == max_depth)
            pruned += "null";
        if (opens)
            ++depth;
        if (depth <= max_depth)
            pruned += next;
        if (closes && depth > 0)
            --depth;
    }
    return pruned;
}

} // namespace barleyfork
