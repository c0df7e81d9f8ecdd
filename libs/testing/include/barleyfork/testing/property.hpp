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
/// The environment variables BARLEYFORK_SEED and BARLEYFORK_CASES override the
/// fixed seed and the number of cases, `cases`.
void check_property(const std::string& name,
                    int cases,
                    const std::function<void()>& property);

/// One command of a stateful test: an action and two numbers that it
/// interprets.
template <typename Action>
struct command
{
    command(Action chosen_action, int one, int two)
        : action(chosen_action), first(one), second(two)
    {
    }

    Action action;
    int first;
    int second;
};

/// Prints a command with its action's value in the enumeration.
template <typename Action>
std::ostream& operator<<(std::ostream& out, const command<Action>& step)
{
    return out << '#' << static_cast<int>(step.action) << '(' << step.first
               << ' ' << step.second << ')';
}

/// Actions with their relative frequencies.
template <typename Action>
using weighted_actions = std::initializer_list<std::pair<std::size_t, Action>>;

/// Generates a sequence of at most `max_commands` commands with arguments from
/// 0 to 59.
template <typename Action>
rc::Gen<std::vector<command<Action>>>
gen_commands(weighted_actions<Action> actions, int max_commands)
{
    constexpr int argument_values = 60;
    return rc::gen::resize(max_commands,
                           rc::gen::container<std::vector<command<Action>>>(
                               rc::gen::construct<command<Action>>(
                                   rc::gen::weightedElement<Action>(actions),
                                   rc::gen::inRange(0, argument_values),
                                   rc::gen::inRange(0, argument_values))));
}

} // namespace barleyfork::testing

#endif
