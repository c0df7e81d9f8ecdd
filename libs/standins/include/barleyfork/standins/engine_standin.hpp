#ifndef BARLEYFORK_STANDINS_ENGINE_STANDIN_HPP
#define BARLEYFORK_STANDINS_ENGINE_STANDIN_HPP

#include <barleyfork/net/io_worker.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace barleyfork {

/// What a stand-in engine can do and how fast.
struct engine_standin_options
{
    std::string name;
    std::uint32_t memory_mib = 0;
    /// Memory for adapters; the least recently used gives way.
    std::uint32_t adapter_slab_mib = 0;
    std::int64_t adapter_load_ms = 8;
    bool checks_fencing = true;
    std::int64_t load_ms = 50;
    std::int64_t first_token_ms = 10;
    std::int64_t between_tokens_ms = 5;
    std::int64_t restart_ms = 200;
};

/// A stand-in of a model engine.
///
/// Streams the tokens `w0 w1 ...`, each with the request's digest, so that a
/// test can tell whose answer it reads. A request body with `crash-engine`
/// ends it; it starts again, empty, after a while. Faults by `POST /faults`:
/// `lose_orders`, `late_order_ms`, `silent` (open streams stop for good),
/// `break_streams_after`, `delay_ms`, `leaving`, `failing` (500 to every
/// completion), `endless` (answers never end). `GET /counters` tells what ran.
class engine_standin
{
public:
    engine_standin(io_worker& owner, engine_standin_options options);
    ~engine_standin();

    /// Listens on loopback; the port taken.
    std::uint16_t listen(std::uint16_t port);

private:
    struct state;

    std::shared_ptr<state> state_;
};

} // namespace barleyfork

#endif
