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

/// Encodes the attributions to one request; those to others are skipped.
json::object encode_request(std::uint64_t fingerprint,
                            std::span<const reported_blame> blames,
                            std::int64_t store_ms)
{
    json::array crashes;
    std::int64_t last_ms = 0;
    for (const auto& entry : blames) {
        if (entry.blame.fingerprint != fingerprint)
            continue;
        crashes.push_back(entry.blame.crash);
        last_ms = std::max<std::int64_t>(store_ms - entry.age.count(), 0);
    }
    return {{"fingerprint", fingerprint},
            {"crashes", std::move(crashes)},
            {"last_store_ms", last_ms}};
}

/// Appends the attributions to one request; nothing if `value` has another
/// format.
void append_request(const json::value& value,
                    std::int64_t store_ms,
                    std::vector<reported_blame>& blames)
{
    const auto* object = value.if_object();
    if (object == nullptr)
        return;
    const auto fingerprint = get_unsigned(object->if_contains("fingerprint"));
    const auto last_ms = get_unsigned(object->if_contains("last_store_ms"));
    const auto* crashes = object->if_contains("crashes");
    if (!fingerprint || !last_ms || crashes == nullptr || !crashes->is_array())
        return;
    const auto now = static_cast<std::uint64_t>(store_ms);
    const duration age(
        static_cast<std::int64_t>(now - std::min(*last_ms, now)));
    for (const auto& crash : crashes->as_array())
        if (const auto id = get_unsigned(&crash))
            blames.push_back({{*fingerprint, *id}, age});
}

} // namespace

std::string encode_refusal(std::uint64_t fingerprint,
                           std::span<const reported_blame> blames,
                           std::int64_t store_ms)
{
    return json::serialize(encode_request(fingerprint, blames, store_ms));
}

std::string encode_suspicions(std::span<const reported_blame> blames,
                              std::int64_t store_ms)
{
    json::array requests;
    while (!blames.empty()) {
        const auto fingerprint = blames.front().blame.fingerprint;
        const auto end = std::find_if(
            blames.begin(), blames.end(), [fingerprint](const auto& entry) {
                return entry.blame.fingerprint != fingerprint;
            });
        const auto count = static_cast<std::size_t>(end - blames.begin());
        requests.push_back(
            encode_request(fingerprint, blames.first(count), store_ms));
        blames = blames.subspan(count);
    }
    return json::serialize(json::object{{"requests", std::move(requests)}});
}

std::vector<reported_blame> decode_blames(std::string_view text,
                                          std::int64_t store_ms)
{
    std::vector<reported_blame> blames;
    boost::system::error_code error;
    const auto value = json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object())
        return blames;
    const auto* requests = value.as_object().if_contains("requests");
    if (requests == nullptr)
        append_request(value, store_ms, blames);
    else if (const auto* list = requests->if_array())
        for (const auto& request : *list)
            append_request(request, store_ms, blames);
    return blames;
}

} // namespace barleyfork
