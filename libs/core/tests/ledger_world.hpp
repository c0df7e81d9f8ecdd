#ifndef BARLEYFORK_CORE_TESTS_LEDGER_WORLD_HPP
#define BARLEYFORK_CORE_TESTS_LEDGER_WORLD_HPP

#include <barleyfork/core/cell_controller.hpp>

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace barleyfork::testing {

/// Events of a `ledger_world`.
enum class world_action : int
{
    take_lease,
    request_load,
    request_unload,
    progress,
    collect,
    faulty_write,
    delayed_write,
    send,
    deliver,
    deliver_unanswered,
    lose_order,
    poll_and_receive_report,
    poll,
    receive_report,
    restart_engine,
    replace_daemon,
};

/// Actual state of one engine, independent of the ledger.
struct true_engine
{
    std::uint64_t boot = 1;
    std::uint64_t sequence = 0;
    std::uint64_t highest_fence = 0;
    bool checks_fencing = true;
    std::set<std::pair<std::string, std::uint32_t>> residents;
};

/// Test oracle of the ledger: two daemons that may both believe that they hold
/// the lease, a table that loses responses, and engines that act on late
/// orders.
///
/// A sent order is bound to the engine process to which it was sent: a restart
/// closes its connection. A daemon that was paused may send an order at any
/// time after it decided on the order.
class ledger_world
{
public:
    static constexpr std::uint32_t capacity_mib = 40;
    static constexpr std::size_t engine_count = 2;

    ledger_world();

    /// Runs one command; a command that does not apply does nothing.
    void run(world_action action, int first, int second);

    /// Returns the maximum memory that any engine ever used, in MiB.
    std::uint32_t max_used_mib() const noexcept
    {
        return max_used_mib_;
    }

    /// Returns the number of loads that engines executed.
    std::size_t loads() const noexcept
    {
        return loads_;
    }

private:
    struct sent_order
    {
        std::size_t holder = 0;
        std::uint64_t generation = 0;
        std::size_t engine = 0;
        engine_order order;
        std::uint64_t boot = 0;
    };

    struct unsent_order
    {
        std::uint64_t generation = 0;
        std::size_t engine = 0;
        engine_order order;
    };

    struct holder
    {
        instance_id id;
        std::optional<cell_controller> controller;
        std::uint64_t generation = 0;
        std::vector<ledger_write> writes;
        std::vector<unsent_order> unsent;
        std::array<std::optional<engine_report>, engine_count> polls;
    };

    struct stored_row
    {
        ledger_row row;
        std::uint64_t version = 0;
    };

    static std::size_t index_of(const server_id& server);
    static server_id name_of(std::size_t engine);
    void take_lease(holder& daemon);
    void progress(holder& daemon);
    void request(holder& daemon, order_kind kind, int engine, int model);
    void collect(holder& daemon);
    void write(holder& daemon, bool is_answered, bool is_delivered);
    void store(const ledger_write& write);
    void deliver_delayed_write(int index);
    void answer(const sent_order& sent, const order_answer& given);
    void send(std::size_t index);
    void deliver(int index, bool is_answered);
    void lose(int index);
    void poll(holder& daemon, std::size_t engine);
    void receive_report(holder& daemon, std::size_t engine);
    void restart(std::size_t engine);
    void replace(std::size_t index);
    void update_max_used();

    std::array<holder, 2> holders_;
    std::array<true_engine, engine_count> engines_;
    std::map<std::size_t, stored_row> table_;
    std::vector<sent_order> network_;
    /// Writes that no daemon waits for and that may still reach the table.
    std::vector<ledger_write> delayed_writes_;
    std::uint64_t table_version_ = 0;
    std::uint64_t lease_epoch_ = 0;
    std::uint64_t name_count_ = 0;
    std::uint32_t max_used_mib_ = 0;
    std::size_t loads_ = 0;
};

} // namespace barleyfork::testing

#endif
