#ifndef KINGCUPRUDDER_BASE_ASSERT_HPP
#define KINGCUPRUDDER_BASE_ASSERT_HPP

namespace kingcuprudder
{

/// Throws std::logic_error naming the violated invariant and its location.
[[noreturn]] void invariant_failed(const char* expression, const char* file,
                                   int line);

} // namespace kingcuprudder

/// Checks an invariant in every build type. A process whose state is
/// inconsistent must not make further decisions.
#define KCR_ASSERT(expression)                                                 \
    ((expression)                                                              \
         ? void(0)                                                             \
         : ::kingcuprudder::invariant_failed(#expression, __FILE__, __LINE__))

#endif
