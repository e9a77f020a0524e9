#include <kingcuprudder/base/assert.hpp>

#include <stdexcept>
#include <string>

namespace kingcuprudder
{

void invariant_failed(const char* expression, const char* file, int line)
{
    throw std::logic_error("invariant failed: " + std::string(expression) +
                           " at " + file + ":" + std::to_string(line));
}

} // namespace kingcuprudder
