#include <barleyfork/scenario/caller.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

namespace barleyfork::scenario {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t read_size = 4096;
constexpr std::chrono::milliseconds poll{5};

std::string code_of(const std::string& body)
{
    beast::error_code error;
    const auto value = boost::json::parse(body, error);
    if (error || !value.is_object() || !value.as_object().contains("error"))
        return {};
    return boost::json::value_to<std::string>(value.at("error").at("code"));
}

} // namespace

caller::caller(caller_call call)
    : call_(std::move(call)), thread_([this] { run(); })
{
}

caller::~caller()
{
    if (thread_.joinable())
        thread_.join();
}

const caller_answer& caller::wait()
{
    if (thread_.joinable())
        thread_.join();
    return answer_;
}

bool caller::wait_for_parts(std::size_t parts, std::chrono::milliseconds bound)
{
    const auto until = std::chrono::steady_clock::now() + bound;
    while (parts_ < parts && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(poll);
    return parts_ >= parts;
}

void caller::run()
{
    asio::io_context loop;
    beast::tcp_stream stream(loop);
    beast::error_code error;
    stream.connect({asio::ip::make_address("127.0.0.1"), call_.port}, error);
    if (error)
        return;
    http::request<http::string_body> request;
    request.method_string(call_.method);
    request.target(call_.path);
    request.version(11);
    request.set(http::field::host, "localhost");
    request.set(http::field::connection, "close");
    for (const auto& [name, value] : call_.headers)
        request.set(name, value);
    request.body() = call_.body;
    request.prepare_payload();
    const auto begin = std::chrono::steady_clock::now();
    const auto elapsed_us = [begin] {
        return std::chrono::duration_cast<std::chrono::microseconds>(
                   std::chrono::steady_clock::now() - begin)
            .count();
    };
    http::write(stream, request, error);
    if (error)
        return;
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    http::read_header(stream, buffer, parser, error);
    if (error)
        return;
    answer_.status = parser.get().result_int();
    for (const auto& field : parser.get())
        answer_.headers[std::string(field.name_string())] =
            std::string(field.value());
    std::string bytes(read_size, '\0');
    while (!parser.is_done() && !left_) {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        http::read_some(stream, buffer, parser, error);
        if (error && error != http::error::need_buffer)
            break;
        const auto filled = bytes.size() - parser.get().body().size;
        if (filled == 0)
            continue;
        answer_.body.append(bytes, 0, filled);
        if (answer_.parts == 0)
            answer_.first_part_us = elapsed_us();
        answer_.parts = ++parts_;
        if (call_.slow_ms != 0)
            std::this_thread::sleep_for(
                std::chrono::milliseconds(call_.slow_ms));
    }
    answer_.end_us = elapsed_us();
    const bool streamed =
        answer_.headers["Content-Type"] == "text/event-stream";
    answer_.whole =
        parser.is_done() &&
        (!streamed || answer_.body.find("data: [DONE]") != std::string::npos);
    answer_.code = code_of(answer_.body);
}

} // namespace barleyfork::scenario
