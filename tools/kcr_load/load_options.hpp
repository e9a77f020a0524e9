#ifndef KINGCUPRUDDER_TOOLS_KCR_LOAD_LOAD_OPTIONS_HPP
#define KINGCUPRUDDER_TOOLS_KCR_LOAD_LOAD_OPTIONS_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace kingcuprudder::load
{

/// The configuration of a load run.
struct load_options
{
    std::vector<std::string> m_entries; ///< Addresses "ip:port".
    std::vector<std::string> m_minions; ///< Read by the check; may be empty.
    std::vector<std::string> m_workers; ///< Read by the check; may be empty.
    std::string m_account;
    std::string m_service;
    std::string m_job_class;
    double m_requests_per_second = 0;
    double m_jobs_per_second = 0;
    span m_duration = span::seconds(10);
    std::size_t m_max_calls = 100'000;
    std::uint32_t m_non_idempotent_percent = 50;
    std::uint32_t m_max_tasks = 4; ///< The maximum per job.
    span m_job_run_time = span(200);
    span m_request_timeout = span::seconds(5);
    span m_job_timeout = span::seconds(60);
    std::size_t m_threads = 32;
    std::uint64_t m_seed = 1;
};

} // namespace kingcuprudder::load

#endif
