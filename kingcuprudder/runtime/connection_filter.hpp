#ifndef KINGCUPRUDDER_RUNTIME_CONNECTION_FILTER_HPP
#define KINGCUPRUDDER_RUNTIME_CONNECTION_FILTER_HPP

namespace kingcuprudder
{

/// Makes the kernel ignore new attempts to connect to a listening TCP socket.
/// Those that it has begun to answer are still completed. Returns false, with
/// no effect, if the system has no socket filters.
bool ignore_new_connections(int listening_socket);

} // namespace kingcuprudder

#endif
