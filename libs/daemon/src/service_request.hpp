#ifndef BARLEYFORK_DAEMON_SRC_SERVICE_REQUEST_HPP
#define BARLEYFORK_DAEMON_SRC_SERVICE_REQUEST_HPP

#include "caller_front.hpp"

#include <barleyfork/core/call_claim.hpp>
#include <barleyfork/core/request_progress.hpp>

#include <optional>
#include <set>
#include <string>

namespace barleyfork {

/// One call of a plain service. A call that must not be retried is claimed in
/// the table before it is sent, and its response is recorded there before it
/// is sent to the caller.
class service_request
{
public:
    service_request(caller_front& front,
                    caller_request& request,
                    http_responder& out);

    /// Runs the call until it has exactly one outcome.
    boost::asio::awaitable<void> run();

private:
    struct call_result
    {
        attempt_outcome end = attempt_outcome::not_sent;
        unsigned status = 0;
        std::string content_type;
        std::string body;
        bool too_large = false;
    };

    boost::asio::awaitable<void> run_claimed();
    boost::asio::awaitable<bool> claim();
    boost::asio::awaitable<bool> handle_existing_claim(const table_row& row);
    boost::asio::awaitable<void> record(claim_state state,
                                        const call_result& result);
    static boost::asio::awaitable<void> settle_in_background(
        table_worker& table, std::string key, claim_record record);
    boost::asio::awaitable<next_step> run_attempts(call_result& result);
    boost::asio::awaitable<call_result> attempt(std::size_t server);
    std::optional<std::size_t> choose();
    boost::asio::awaitable<void> answer(next_step step, call_result& result);
    boost::asio::awaitable<void> refuse(errc kind, double retry_after);

    caller_front& front_;
    caller_request& request_;
    http_responder& out_;
    const route_entry* route_ = nullptr;
    std::optional<request_progress> progress_;
    std::set<std::size_t> excluded_;
    time_point deadline_{};
    std::string claim_key_;
    claim_record claim_;
    std::uint64_t claim_version_ = 0;
};

} // namespace barleyfork

#endif
