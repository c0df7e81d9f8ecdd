#include <barleyfork/standins/platform_standin.hpp>

#include <barleyfork/net/url.hpp>

#include <boost/json.hpp>
#include <boost/url/decode_view.hpp>

namespace barleyfork {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::uint32_t largest_body = 64 * 1024 * 1024;

std::string decode_path(std::string_view text)
{
    const boost::urls::decode_view view(text);
    return {view.begin(), view.end()};
}

std::uint64_t query_number(const std::string& query, std::string_view name)
{
    const auto text = query_value(query, name);
    return text.empty() ? 0 : std::stoull(text);
}

http_outgoing answer_json(const json::value& value, unsigned status = 200)
{
    http_outgoing answer;
    answer.status = status;
    answer.body = json::serialize(value);
    return answer;
}

} // namespace

struct platform_standin::state
{
    struct stored_row
    {
        std::uint64_t version = 0;
        json::value value;
    };

    explicit state(io_worker& owner)
        : server(owner, limits(), [this](const auto& in, auto& out) {
              return handle(in, out);
          })
    {
    }

    static http_limits limits()
    {
        http_limits result;
        result.max_connections = 100000;
        result.max_body_bytes = largest_body;
        return result;
    }

    asio::awaitable<void> handle(const http_incoming& in, http_responder& out)
    {
        if (in.path == "/faults") {
            set_faults(json::parse(in.body).as_object());
            co_await out.send(answer_json(json::value()));
            co_return;
        }
        if (delay_ms != 0)
            co_await sleep_for_ms(delay_ms);
        const bool is_list = in.path.starts_with("/instances");
        if (outage || (table_outage && !is_list)) {
            out.abort();
            co_return;
        }
        auto answer = route(in);
        if (in.method == "PUT" && answer.status == 200 && lose_answers > 0) {
            --lose_answers;
            out.abort();
            co_return;
        }
        co_await out.send(std::move(answer));
    }

    void set_faults(const json::object& faults)
    {
        if (faults.contains("outage"))
            outage = faults.at("outage").as_bool();
        if (faults.contains("table_outage"))
            table_outage = faults.at("table_outage").as_bool();
        if (faults.contains("lose_answers"))
            lose_answers = faults.at("lose_answers").to_number<int>();
        if (faults.contains("delay_ms"))
            delay_ms = faults.at("delay_ms").to_number<int>();
    }

    http_outgoing route(const http_incoming& in)
    {
        if (in.path == "/rows")
            return scan_rows(in.query);
        if (in.path.starts_with("/rows/"))
            return one_row(in, decode_path(in.path.substr(6)));
        if (in.path.starts_with("/objects/"))
            return one_object(in, in.path.substr(9));
        if (in.path == "/instances")
            return list_instances(in);
        if (in.path.starts_with("/instances/"))
            return one_instance(in, in.path.substr(11));
        if (in.path == "/counters")
            return answer_json(json::object{{"reads", reads},
                                            {"writes", writes},
                                            {"change_reads", change_reads}});
        return answer_json(json::object{{"error", "no such path"}}, 404);
    }

    http_outgoing scan_rows(const std::string& query)
    {
        ++reads;
        const auto prefix = query_value(query, "prefix");
        const auto since = query_number(query, "since");
        json::array found;
        for (auto row = rows.lower_bound(prefix);
             row != rows.end() && row->first.starts_with(prefix);
             ++row)
            if (row->second.version > since)
                found.push_back(to_json(row->first, row->second));
        return answer_json(
            json::object{{"version", version}, {"rows", std::move(found)}});
    }

    http_outgoing one_row(const http_incoming& in, const std::string& key)
    {
        const auto found = rows.find(key);
        if (in.method == "GET") {
            ++reads;
            if (found == rows.end())
                return answer_json(json::object{}, 404);
            return answer_json(to_json(key, found->second));
        }
        ++writes;
        const auto standing = found == rows.end() ? 0 : found->second.version;
        if (standing != query_number(in.query, "expected"))
            return answer_json(json::object{{"version", standing}}, 409);
        rows[key] = {++version, json::parse(in.body)};
        return answer_json(json::object{{"version", version}});
    }

    http_outgoing one_object(const http_incoming& in, const std::string& name)
    {
        http_outgoing answer;
        answer.content_type = "application/octet-stream";
        if (in.method == "PUT") {
            objects[name] = in.body;
            return answer;
        }
        const auto found = objects.find(name);
        answer.status = found == objects.end() ? 404 : 200;
        if (found != objects.end()) {
            answer.body = found->second;
            change_reads += name.starts_with("delta-") ? 1 : 0;
        }
        return answer;
    }

    http_outgoing list_instances(const http_incoming& in)
    {
        const auto etag = "\"" + std::to_string(list_version) + "\"";
        http_outgoing answer;
        if (in.header("if-none-match") == etag) {
            answer.status = 304;
            return answer;
        }
        json::array list;
        for (const auto& [name, entry] : instances)
            list.push_back(entry);
        answer = answer_json(json::object{{"instances", std::move(list)}});
        answer.headers.emplace_back("ETag", etag);
        return answer;
    }

    http_outgoing one_instance(const http_incoming& in, const std::string& name)
    {
        ++list_version;
        if (in.method == "DELETE")
            instances.erase(name);
        else
            instances[name] = json::parse(in.body);
        return answer_json(json::object{});
    }

    static json::object to_json(const std::string& key, const stored_row& row)
    {
        return {{"key", key}, {"version", row.version}, {"value", row.value}};
    }

    http_server server;
    std::map<std::string, stored_row> rows;
    std::map<std::string, std::string> objects;
    std::map<std::string, json::value> instances;
    std::uint64_t version = 0;
    std::uint64_t list_version = 1;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t change_reads = 0;
    bool outage = false;
    bool table_outage = false;
    int lose_answers = 0;
    int delay_ms = 0;
};

platform_standin::platform_standin(io_worker& owner)
    : state_(std::make_unique<state>(owner))
{
}

platform_standin::~platform_standin() = default;

std::uint16_t platform_standin::listen(std::uint16_t port)
{
    return state_->server.listen("127.0.0.1", port);
}

} // namespace barleyfork
