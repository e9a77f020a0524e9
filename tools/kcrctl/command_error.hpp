#ifndef KINGCUPRUDDER_TOOLS_KCRCTL_COMMAND_ERROR_HPP
#define KINGCUPRUDDER_TOOLS_KCRCTL_COMMAND_ERROR_HPP

#include "exit_code.hpp"
#include <kingcuprudder/base/error.hpp>

#include <stdexcept>
#include <string>

namespace kingcuprudder
{

/// Ends a command with an exit code and a message for the operator.
class command_error : public std::runtime_error
{
public:
    command_error(exit_code code, const std::string& message)
        : std::runtime_error(message), m_code(code)
    {
    }

    exit_code code() const { return m_code; }

private:
    exit_code m_code;
};

/// Returns the value of a result. Throws command_error if it is an error.
template <class T>
T value_or_throw(const result<T>& outcome, exit_code code)
{
    if (!succeeded(outcome))
    {
        throw command_error(code, error_of(outcome).m_message);
    }
    return value_of(outcome);
}

} // namespace kingcuprudder

#endif
