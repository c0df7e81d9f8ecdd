#include <barleyfork/logs/log_line.hpp>

namespace barleyfork {

namespace {

/// Reads the quoted or space-terminated value at `at` and advances `at` past
/// it.
std::string read_value(std::string_view text, std::size_t& at)
{
    std::string value;
    const bool quoted = at < text.size() && text[at] == '"';
    if (quoted)
        ++at;
    while (at < text.size()) {
        const char c = text[at++];
        if (quoted && c == '\\' && at < text.size()) {
            value += text[at++];
            continue;
        }
        if (quoted ? c == '"' : c == ' ')
            break;
        value += c;
    }
    return value;
}

} // namespace

std::string_view log_line::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view() : found->second;
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    const auto start = text.find("ts=");
    if (start == std::string_view::npos)
        return std::nullopt;
    text.remove_prefix(start);
    while (text.ends_with('\n') || text.ends_with('\r'))
        text.remove_suffix(1);
    log_line line;
    line.text = std::string(text);
    std::size_t at = 0;
    while (at < text.size()) {
        const auto equals = text.find('=', at);
        if (equals == std::string_view::npos)
            break;
        auto name = text.substr(at, equals - at);
        while (name.starts_with(' '))
            name.remove_prefix(1);
        at = equals + 1;
        // Keeps the first `instance`, which is the daemon's own: the event may
        // have a field of the same name.
        line.fields.try_emplace(std::string(name), read_value(text, at));
    }
    line.time = line.field("ts");
    line.instance = line.field("instance");
    line.event = line.field("event");
    if (line.event.empty())
        return std::nullopt;
    return line;
}

} // namespace barleyfork
