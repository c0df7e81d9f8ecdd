#ifndef BARLEYFORK_STANDINS_LINK_STANDIN_HPP
#define BARLEYFORK_STANDINS_LINK_STANDIN_HPP

#include <barleyfork/net/io_worker.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace barleyfork {

/// A stretch of network between two ends that can lose track of them.
///
/// Forwards TCP to a target port on loopback. While a source address is cut,
/// what it sends and gets vanishes and its open connections stay open: they
/// are silent for good, also after the cut is healed; new ones work again.
class link_standin
{
public:
    link_standin(io_worker& owner,
                 const std::string& target_address,
                 std::uint16_t port);
    ~link_standin();

    /// Listens on loopback; the port taken. Before the owner starts, or on
    /// its thread.
    std::uint16_t listen();

    /// Cuts a source address, or all of them where it is empty. Any thread.
    void cut(const std::string& source);

    /// Heals every cut for new connections. Any thread.
    void heal();

private:
    struct state;

    std::shared_ptr<state> state_;
};

} // namespace barleyfork

#endif
