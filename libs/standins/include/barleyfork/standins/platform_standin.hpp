#ifndef BARLEYFORK_STANDINS_PLATFORM_STANDIN_HPP
#define BARLEYFORK_STANDINS_PLATFORM_STANDIN_HPP

#include <barleyfork/net/http_server.hpp>
#include <barleyfork/net/io_worker.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace barleyfork {

/// A stand-in of the table service, object store and instance list.
///
/// Faults are asked for by `POST /faults` with a JSON object: `outage` (bool),
/// `table_outage` (bool; the list goes on),
/// `lose_answers` (number of writes whose answer is lost after they took
/// effect), `delay_ms`. Instances register by `PUT /instances/NAME`.
class platform_standin
{
public:
    explicit platform_standin(io_worker& owner);
    ~platform_standin();

    /// Listens on loopback; the port taken.
    std::uint16_t listen(std::uint16_t port);

private:
    struct state;

    std::unique_ptr<state> state_;
};

} // namespace barleyfork

#endif
