#include <kingcuprudder/dispatch/task_ref.hpp>

#include <charconv>

namespace kingcuprudder::dispatch
{

namespace
{

std::optional<int> pop_last_number(std::string_view& text)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos)
    {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(dot + 1);
    int value = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (error != std::errc() || end != digits.data() + digits.size() ||
        value < 0)
    {
        return std::nullopt;
    }
    text = text.substr(0, dot);
    return value;
}

} // namespace

std::string task_ref::str() const
{
    return step_str() + "." + std::to_string(m_index);
}

std::string task_ref::step_str() const
{
    return m_job + "." + std::to_string(m_repeat) + "." +
           std::to_string(m_step);
}

std::optional<task_ref> task_ref::parse(std::string_view text)
{
    const std::optional<int> index = pop_last_number(text);
    const std::optional<int> step =
        index ? pop_last_number(text) : std::nullopt;
    const std::optional<int> repeat =
        step ? pop_last_number(text) : std::nullopt;
    if (!repeat || text.empty())
    {
        return std::nullopt;
    }
    return task_ref{std::string(text), *repeat, *step, *index};
}

} // namespace kingcuprudder::dispatch
