#include <kingcuprudder/service/settings_editor.hpp>
#include <kingcuprudder/store/http_key_value_store.hpp>

#include <gtest/gtest.h>
#include <stand_ins/fake_store.hpp>
#include <stand_ins/store_data.hpp>

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

namespace kingcuprudder
{
namespace
{

constexpr const char* settings_key = "live/settings";
constexpr const char* first_tree =
    R"({"regions":{"r":{"accounts":{"a":{"priority":0},"b":{}}}}})";
constexpr const char* contended_path = "regions.r.accounts.a.priority";

/// Serializes the store calls of two operators in a pseudo-random order.
class turn_schedule
{
public:
    explicit turn_schedule(unsigned seed) : m_random(seed) { choose(); }

    void await(int who)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock,
                       [&] { return m_next == who || m_finished[1 - who]; });
    }

    void end_turn()
    {
        const std::lock_guard lock(m_mutex);
        choose();
        m_changed.notify_all();
    }

    void finish(int who)
    {
        const std::lock_guard lock(m_mutex);
        m_finished[who] = true;
        m_changed.notify_all();
    }

    /// Returns a pseudo-random number below the limit. Only for use within a
    /// turn.
    std::uint32_t pick(std::uint32_t limit)
    {
        return static_cast<std::uint32_t>(m_random() % limit);
    }

private:
    void choose() { m_next = static_cast<int>(m_random() % 2); }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::mt19937 m_random;
    int m_next = 0;
    bool m_finished[2] = {false, false};
};

/// An in-memory store of one operator, whose calls follow the turn schedule.
/// One write in four is not answered: it takes effect immediately, never, or at
/// the next call of the operator.
class scheduled_store : public key_value_store
{
public:
    scheduled_store(stand_ins::store_data& data, turn_schedule& turns, int who)
        : m_data(data), m_turns(turns), m_who(who)
    {
    }

    store_answer call(const store_call& request) override
    {
        m_turns.await(m_who);
        if (m_delayed_put)
        {
            apply(*m_delayed_put);
            m_delayed_put.reset();
        }
        store_answer answer{request.m_call, store_failed{}};
        if (const auto* get = std::get_if<store_get>(&request.m_operation))
        {
            answer.m_outcome = m_data.get(get->m_key).value_or(store_value());
        }
        else if (const auto* put = std::get_if<store_put>(&request.m_operation))
        {
            answer.m_outcome = write(*put);
        }
        m_turns.end_turn();
        return answer;
    }

    result<watch_batch> watch(const std::string& prefix, store_revision after,
                              span wait) override
    {
        return m_data.watch(prefix, after, wait);
    }

private:
    using outcome = decltype(store_answer::m_outcome);

    outcome write(const store_put& put)
    {
        switch (m_turns.pick(12))
        {
        case 0:
            apply(put);
            return store_failed{};
        case 1:
            return store_failed{};
        case 2:
            m_delayed_put = put;
            return store_failed{};
        default:
            return apply(put);
        }
    }

    outcome apply(const store_put& put)
    {
        using written = stand_ins::store_data::write_outcome;
        const auto done =
            m_data.put(put.m_key, put.m_value, put.m_expected, put.m_lease);
        if (done.m_outcome == written::written)
        {
            return store_written{done.m_revision};
        }
        return store_conflict{done.m_revision};
    }

    stand_ins::store_data& m_data;
    turn_schedule& m_turns;
    int m_who;
    std::optional<store_put> m_delayed_put;
};

settings_editor::surroundings named(const std::string& name)
{
    auto last = std::make_shared<int>(0);
    return {name, [] { return instant(1000); },
            [name, last] { return name + std::to_string(++*last); },
            [](span) {}};
}

/// The outcomes reported to one operator.
struct operator_log
{
    std::vector<std::string> m_accepted;
    std::vector<std::string> m_refused;
    int m_unknown = 0;
};

/// Sets the contended value three times, each time based on a new snapshot.
operator_log change_three_times(settings_editor& editor, int first_value)
{
    operator_log log;
    for (int i = 0; i < 3; ++i)
    {
        const settings_snapshot seen = value_of(editor.read());
        const std::string value = std::to_string(first_value + i);
        const auto tree = with_setting(seen.m_tree, contended_path, value);
        const auto outcome = editor.write(seen, value_of(tree));
        if (std::holds_alternative<settings_accepted>(outcome))
        {
            log.m_accepted.push_back(value);
        }
        else if (std::holds_alternative<settings_race_lost>(outcome))
        {
            log.m_refused.push_back(value);
        }
        else
        {
            ++log.m_unknown;
        }
    }
    return log;
}

class settings_race : public testing::Test
{
protected:
    void run(unsigned seed)
    {
        m_data->put(settings_key, first_tree, 0, "");
        turn_schedule turns(seed);
        std::vector<std::thread> threads;
        for (int who : {0, 1})
        {
            threads.emplace_back(
                [&, who]
                {
                    scheduled_store store(*m_data, turns, who);
                    settings_editor editor(store, named(who ? "y" : "x"));
                    m_logs[who] = change_three_times(editor, who ? 200 : 100);
                    turns.finish(who);
                });
        }
        for (std::thread& each : threads)
        {
            each.join();
        }
    }

    /// Returns the values in the order of the history. Checks that each change
    /// started from the value that the previous change set.
    std::vector<std::string> history_values()
    {
        turn_schedule turns(0);
        turns.finish(1);
        scheduled_store store(*m_data, turns, 0);
        settings_editor reader(store, named("reader"));
        auto entries = value_of(reader.history());
        std::vector<std::string> values;
        std::string expected_before = "0";
        for (auto each = entries.rbegin(); each != entries.rend(); ++each)
        {
            if (!each->m_recorded)
            {
                values.push_back("?");
                expected_before = "";
                continue;
            }
            EXPECT_EQ(each->m_differences.size(), 1u);
            const settings_difference& only = each->m_differences.at(0);
            EXPECT_TRUE(expected_before.empty() ||
                        only.m_before == expected_before);
            expected_before = only.m_after.value_or("");
            values.push_back(expected_before);
        }
        return values;
    }

    std::unique_ptr<stand_ins::store_data> m_data;
    operator_log m_logs[2];
};

// Guards against an accepted change that is overwritten by an operator with an
// older snapshot, and against a wrongly reported outcome, for any order of the
// store calls and any lost answers.
TEST_F(settings_race, no_accepted_change_is_lost)
{
    int lost_races = 0;
    for (unsigned seed = 1; seed <= 1000; ++seed)
    {
        m_data = std::make_unique<stand_ins::store_data>();
        run(seed);
        const std::vector<std::string> values = history_values();
        const auto shown = [&](const std::string& value)
        { return std::count(values.begin(), values.end(), value); };
        const auto unrecorded = shown("?");
        std::size_t accepted = 0;
        for (const operator_log& log : m_logs)
        {
            accepted += log.m_accepted.size();
            for (const std::string& value : log.m_accepted)
            {
                EXPECT_TRUE(shown(value) == 1 || unrecorded > 0)
                    << "seed " << seed << " value " << value;
            }
            for (const std::string& value : log.m_refused)
            {
                EXPECT_EQ(shown(value), 0) << "seed " << seed;
            }
            EXPECT_EQ(log.m_unknown, 0) << "seed " << seed;
            lost_races += static_cast<int>(log.m_refused.size());
        }
        EXPECT_EQ(accepted, values.size()) << "seed " << seed;
        ASSERT_FALSE(HasFailure());
    }
    EXPECT_GT(lost_races, 250) << "the schedules hardly raced";
}

class settings_editor_http : public testing::Test
{
protected:
    settings_editor_http()
        : m_client(m_store.address(), span(300)), m_editor(m_client, named("x"))
    {
        m_store.put(settings_key, first_tree);
        m_seen = value_of(m_editor.read());
    }

    std::string tree_with_priority(const std::string& value) const
    {
        return value_of(with_setting(m_seen.m_tree, contended_path, value));
    }

    stand_ins::fake_store m_store;
    http_key_value_store m_client;
    settings_editor m_editor;
    settings_snapshot m_seen;
};

// Guards against reporting a change as failed although it took effect.
TEST_F(settings_editor_http, a_lost_answer_is_settled_by_reading_back)
{
    m_store.set_faults({false, false, span(0), 1});
    const auto outcome = m_editor.write(m_seen, tree_with_priority("5"));
    ASSERT_TRUE(std::holds_alternative<settings_accepted>(outcome));
    EXPECT_EQ(std::get<settings_accepted>(outcome).m_revision,
              m_store.get(settings_key).m_revision);
    EXPECT_EQ(setting_at(m_store.get(settings_key).m_value, contended_path),
              result<std::string>("5"));
}

// Guards against reporting an outcome that cannot be determined.
TEST_F(settings_editor_http, an_outage_leaves_the_outcome_unknown)
{
    m_store.set_faults({true, true, span(0), 0});
    const auto outcome = m_editor.write(m_seen, tree_with_priority("5"));
    EXPECT_TRUE(std::holds_alternative<settings_outcome_unknown>(outcome));
}

// Guards against a conflict report that does not list the concurrent changes.
TEST_F(settings_editor_http, a_lost_race_reports_what_the_other_altered)
{
    settings_editor other(m_client, named("y"));
    other.write(m_seen, tree_with_priority("7"));
    const auto outcome = m_editor.write(m_seen, tree_with_priority("5"));
    ASSERT_TRUE(std::holds_alternative<settings_race_lost>(outcome));
    const auto& lost = std::get<settings_race_lost>(outcome);
    EXPECT_EQ(to_text(lost.m_differences),
              std::string(contended_path) + ": 0 -> 7\n");
    ASSERT_EQ(lost.m_changes.size(), 1u);
    EXPECT_EQ(lost.m_changes[0].m_by, "y");
    EXPECT_EQ(setting_at(m_store.get(settings_key).m_value, contended_path),
              result<std::string>("7"));
}

// Guards against writing a tree that the processes would reject.
TEST_F(settings_editor_http, an_invalid_tree_is_not_written)
{
    const auto outcome = m_editor.write(m_seen, tree_with_priority("5000"));
    ASSERT_TRUE(std::holds_alternative<error>(outcome));
    EXPECT_EQ(std::get<error>(outcome).m_code, error_code::invalid_settings);
    EXPECT_EQ(m_store.get(settings_key).m_value, first_tree);
}

// Guards against a history that grows without bound or drops entries too early.
TEST_F(settings_editor_http, the_history_keeps_the_last_64_changes)
{
    for (int i = 1; i <= 70; ++i)
    {
        const settings_snapshot seen = value_of(m_editor.read());
        const auto tree =
            with_setting(seen.m_tree, contended_path, std::to_string(i));
        ASSERT_TRUE(std::holds_alternative<settings_accepted>(
            m_editor.write(seen, value_of(tree))));
    }
    const auto history = value_of(m_editor.history());
    ASSERT_EQ(history.size(), 64u);
    EXPECT_EQ(history.front().m_change.m_number, 70u);
    EXPECT_EQ(history.back().m_change.m_number, 7u);
}

} // namespace
} // namespace kingcuprudder
