#ifndef KINGCUPRUDDER_NODE_ORDER_SLOTS_HPP
#define KINGCUPRUDDER_NODE_ORDER_SLOTS_HPP

namespace kingcuprudder::node
{

/// Limits how many orders to all workers are in flight beside the first one to
/// each worker, as each of them needs a connection of its own. Used on the
/// thread of the sessions' event loop only.
class order_slots
{
public:
    explicit order_slots(int limit) : m_free(limit) {}
    order_slots(const order_slots&) = delete;
    order_slots& operator=(const order_slots&) = delete;

    bool any_free() const { return m_free > 0; }
    /// Takes a slot, of which one must be free.
    void take() { --m_free; }
    /// Gives back a slot that was taken.
    void give_back() { ++m_free; }

private:
    int m_free;
};

} // namespace kingcuprudder::node

#endif
