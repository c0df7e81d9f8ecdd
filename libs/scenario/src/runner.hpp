#ifndef BARLEYFORK_SCENARIO_SRC_RUNNER_HPP
#define BARLEYFORK_SCENARIO_SRC_RUNNER_HPP

#include "cluster.hpp"
#include <barleyfork/scenario/caller.hpp>

#include <barleyfork/scenario/script.hpp>

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <stdexcept>
#include <string>

namespace barleyfork::scenario {

/// A check of a script that did not hold.
class check_failed : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Runs the statements of one script against a cluster.
class runner
{
public:
    /// Throws `check_failed` with the line where a check does not hold.
    void run(std::span<const statement> script);

private:
    using action = void (runner::*)(const statement&);

    void make_world(const statement& line);
    void apply(const statement& line);
    void apply_in_background(const statement& line);
    void applied(const statement& line);
    void await(const statement& line);
    void stream(const statement& line);
    void complete(const statement& line);
    void repeat(const statement& line);
    void book(const statement& line);
    void await_parts(const statement& line);
    void leave(const statement& line);
    void finish(const statement& line);
    void fault(const statement& line);
    void platform(const statement& line);
    void check(const statement& line);
    void kill(const statement& line);
    void start(const statement& line);
    void unlist(const statement& line);
    void drain(const statement& line);
    void stall(const statement& line);
    void cut(const statement& line);
    void heal(const statement& line);
    void pause(const statement& line);

    static const std::map<std::string, action>& actions();

    cluster& world();
    std::size_t place_of(const statement& line) const;
    std::uint16_t target_of(const statement& line);
    declaration_options declaration_of(const statement& line) const;
    std::string apply_target(const statement& line) const;
    void call_model(const statement& line, bool stream);
    void eventually(const statement& line, const std::function<bool()>& test);
    bool holds(const statement& line);
    std::uint64_t revision_of(std::size_t place);
    std::size_t ready_replicas(std::size_t place, const std::string& model);
    std::int64_t counter_of(std::uint16_t port, const std::string& name);
    void require(bool held, const statement& line, const std::string& seen);

    std::unique_ptr<cluster> cluster_;
    std::map<std::string, std::unique_ptr<caller>> callers_;
};

} // namespace barleyfork::scenario

#endif
