#include "quarantine_row_codec.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>
#include <utility>

namespace barleyfork {

namespace json = boost::json;

namespace {

/// Returns an unsigned 64-bit integer; nothing for any other value, which no
/// row of this format contains.
std::optional<std::uint64_t> get_unsigned(const json::value* value)
{
    if (value == nullptr)
        return std::nullopt;
    if (value->is_uint64())
        return value->as_uint64();
    if (value->is_int64() && value->as_int64() >= 0)
        return static_cast<std::uint64_t>(value->as_int64());
    return std::nullopt;
}

} // namespace

std::string encode_refusal(std::uint64_t fingerprint,
                           std::span<const reported_blame> blames,
                           std::int64_t now_ms)
{
    json::array crashes;
    std::int64_t last_ms = 0;
    for (const auto& entry : blames) {
        if (entry.blame.fingerprint != fingerprint)
            continue;
        crashes.push_back(entry.blame.crash);
        last_ms = now_ms - entry.age.count();
    }
    return json::serialize(json::object{{"fingerprint", fingerprint},
                                        {"crashes", std::move(crashes)},
                                        {"last_ms", last_ms}});
}

std::vector<reported_blame> decode_refusal(std::string_view text,
                                           std::int64_t now_ms)
{
    std::vector<reported_blame> blames;
    boost::system::error_code error;
    const auto value = json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object())
        return blames;
    const auto& object = value.as_object();
    const auto fingerprint = get_unsigned(object.if_contains("fingerprint"));
    const auto last_ms = get_unsigned(object.if_contains("last_ms"));
    const auto* crashes = object.if_contains("crashes");
    if (!fingerprint || !last_ms || crashes == nullptr || !crashes->is_array())
        return blames;
    const auto now = static_cast<std::uint64_t>(now_ms);
    const duration age(
        static_cast<std::int64_t>(now - std::min(*last_ms, now)));
    for (const auto& crash : crashes->as_array())
        if (const auto id = get_unsigned(&crash))
            blames.push_back({{*fingerprint, *id}, age});
    return blames;
}

} // namespace barleyfork
