#ifndef BARLEYFORK_STANDINS_SERVICE_STANDIN_HPP
#define BARLEYFORK_STANDINS_SERVICE_STANDIN_HPP

#include <barleyfork/net/io_worker.hpp>

#include <cstdint>
#include <memory>

namespace barleyfork {

/// A stand-in of a plain service whose calls may not be repeated.
///
/// Each POST books once more and answers with the booking's number. Faults by
/// `POST /faults`: `lose_answers` (books, then cuts the connection),
/// `refuse` (says 503 and `x-not-run`), `delay_ms`. `GET /counters` tells how
/// often each body was booked at most (`most`) and in all (`booked`).
class service_standin
{
public:
    explicit service_standin(io_worker& owner);
    ~service_standin();

    /// Listens on loopback; the port taken.
    std::uint16_t listen(std::uint16_t port);

private:
    struct state;

    std::unique_ptr<state> state_;
};

} // namespace barleyfork

#endif
