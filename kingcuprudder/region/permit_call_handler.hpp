#ifndef KINGCUPRUDDER_REGION_PERMIT_CALL_HANDLER_HPP
#define KINGCUPRUDDER_REGION_PERMIT_CALL_HANDLER_HPP

#include <kingcuprudder/region/waiting_call_table.hpp>

#include <map>
#include <string>

namespace kingcuprudder
{

/// Grants one permit for each non-idempotent request and retains its outcome.
class permit_call_handler
{
public:
    explicit permit_call_handler(scheduler_context& context)
        : m_context(context)
    {
    }

    void on_request(call_number call, const request_permit& request,
                    instant now);
    void on_end(call_number call, const end_request& request, instant now);

    void on_committed(const request_permitted& record, instant now);
    void on_committed(const request_ended& record);

    /// Ends permits whose holder has not reported an outcome in time, and
    /// answers calls whose wait limit has expired.
    void on_tick(instant now);

    /// Answers all calls with not_owner.
    void step_down(const std::string& owner);

private:
    using call_table = waiting_call_table<request_key>;

    void wait(call_number call, const request_key& key, instant expires,
              bool for_record);
    void answer_open(call_number call, const request_permit& request,
                     const permit_entry& entry, instant now);
    void expire_call(const call_table::waiting_call& call);
    void expire_permits(instant now);
    void refuse(call_number call, error_code code, std::string message,
                verdict ran);

    scheduler_context& m_context;
    call_table m_requesting; ///< Calls of on_request.
    call_table m_ending;     ///< Calls of on_end.
    /// Permits whose record is uncommitted.
    std::map<request_key, std::pair<record_ticket, request_permitted>>
        m_pending;
    /// Outcomes whose record is uncommitted.
    std::map<request_key, record_ticket> m_pending_ends;
};

/// Time after its deadline at which a permit without an outcome ends.
inline constexpr span permit_grace = span::seconds(5);

} // namespace kingcuprudder

#endif
