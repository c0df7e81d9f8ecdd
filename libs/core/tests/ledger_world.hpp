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

/// What may happen in a `ledger_world`.
enum class world_action : int
{
    take_lease,
    ask_load,
    ask_unload,
    progress,
    collect,
    faulty_write,
    late_write,
    send,
    deliver,
    deliver_unanswered,
    lose_order,
    poll_and_hear,
    poll,
    hear,
    restart_engine,
    replace_daemon,
};

/// What one engine really holds; knows nothing of ledgers.
struct true_engine
{
    std::uint64_t boot = 1;
    std::uint64_t sequence = 0;
    std::uint64_t highest_fence = 0;
    bool checks_fencing = true;
    std::set<std::pair<std::string, std::uint32_t>> held;
};

/// The oracle of the ledger: two daemons that may both believe they hold the
/// lease, a table that loses answers, and engines that act on late orders.
///
/// A sent order is bound to the engine process it was sent to: a restart ends
/// its connection. An order that is decided but not sent may be sent at any
/// later time, by a daemon that was paused.
class ledger_world
{
public:
    static constexpr std::uint32_t capacity_mib = 40;
    static constexpr std::size_t engine_count = 2;

    ledger_world();

    /// Runs one command; unsuitable ones do nothing.
    void run(world_action action, int first, int second);

    /// The largest memory any engine ever held, in MiB.
    std::uint32_t worst_mib() const noexcept
    {
        return worst_mib_;
    }

    /// Loads that engines carried out.
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
    void take_lease(holder& who);
    void progress(holder& who);
    void ask(holder& who, order_kind kind, int engine, int model);
    void collect(holder& who);
    void write(holder& who, bool answered, bool reaches);
    void store(const ledger_write& write);
    void write_late(int index);
    void answer(const sent_order& sent, const order_answer& given);
    void send(std::size_t who);
    void deliver(int index, bool answered);
    void lose(int index);
    void poll(holder& who, std::size_t engine);
    void hear(holder& who, std::size_t engine);
    void restart(std::size_t engine);
    void replace(std::size_t who);
    void measure();

    std::array<holder, 2> holders_;
    std::array<true_engine, engine_count> engines_;
    std::map<std::size_t, stored_row> table_;
    std::vector<sent_order> network_;
    /// Writes that nobody waits for and that may still reach the table.
    std::vector<ledger_write> late_writes_;
    std::uint64_t table_version_ = 0;
    std::uint64_t lease_epoch_ = 0;
    std::uint64_t names_ = 0;
    std::uint32_t worst_mib_ = 0;
    std::size_t loads_ = 0;
};

} // namespace barleyfork::testing

#endif
