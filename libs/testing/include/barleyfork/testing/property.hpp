#ifndef BARLEYFORK_TESTING_PROPERTY_HPP
#define BARLEYFORK_TESTING_PROPERTY_HPP

#include <cppunit/extensions/HelperMacros.h>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <ostream>
#include <rapidcheck.h>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

namespace barleyfork::testing {

/// Runs a RapidCheck property with a fixed seed as a CppUnit assertion.
///
/// BARLEYFORK_SEED and BARLEYFORK_CASES in the environment choose another run
/// than the fixed seed and `cases` cases.
void check_property(const std::string& name,
                    int cases,
                    const std::function<void()>& property);

/// One command of a stateful test: what to do, and two choices for it.
template <typename Action>
struct command
{
    command(Action what, int one, int two)
        : action(what), first(one), second(two)
    {
    }

    Action action;
    int first;
    int second;
};

/// Prints a command with its action's place in the enumeration.
template <typename Action>
std::ostream& operator<<(std::ostream& out, const command<Action>& step)
{
    return out << '#' << static_cast<int>(step.action) << '(' << step.first
               << ' ' << step.second << ')';
}

/// Actions with how often each is to come, relative to the others.
template <typename Action>
using weighted_actions = std::initializer_list<std::pair<std::size_t, Action>>;

/// A sequence of up to `longest` commands, in any order.
template <typename Action>
rc::Gen<std::vector<command<Action>>>
gen_commands(weighted_actions<Action> actions, int longest)
{
    constexpr int choices = 60;
    return rc::gen::resize(longest,
                           rc::gen::container<std::vector<command<Action>>>(
                               rc::gen::construct<command<Action>>(
                                   rc::gen::weightedElement<Action>(actions),
                                   rc::gen::inRange(0, choices),
                                   rc::gen::inRange(0, choices))));
}

} // namespace barleyfork::testing

#endif
