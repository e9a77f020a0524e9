#include <kingcuprudder/placement/guarantee_layout.hpp>
#include <kingcuprudder/settings/resolve_settings.hpp>
#include <kingcuprudder/settings/settings_json_schema.hpp>
#include <kingcuprudder/settings/settings_schema.hpp>

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace kingcuprudder
{
namespace
{

std::string read_file(const std::string& name)
{
    std::ifstream file(std::string(KCR_SOURCE_DIR) + "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// Guards against a published schema whose bounds, units or defaults differ
// from those that the code checks.
TEST(settings_schema, the_published_schema_is_the_one_of_the_code)
{
    EXPECT_EQ(read_file("docs/settings.schema.json"), settings_json_schema())
        << "regenerate it with: kcrctl settings schema";
}

// Guards against a setting that the operators' page leaves out.
TEST(settings_schema, the_settings_page_names_every_setting)
{
    const std::string page = read_file("docs/SETTINGS.md");
    for (settings_section section :
         {settings_section::account, settings_section::job_class,
          settings_section::service, settings_section::scheduler})
    {
        for (const setting_field& field : section_fields(section))
        {
            const std::string row = "| `" + std::string(field.m_name) + "` |";
            EXPECT_NE(page.find(row), std::string::npos) << row;
        }
    }
}

/// Workers spread over three zones, eight to a rack.
std::vector<worker> make_workers(std::uint32_t count, std::uint32_t cores)
{
    constexpr std::uint32_t zones = 3;
    constexpr std::uint32_t workers_per_rack = 8;
    std::vector<worker> workers;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        const std::string zone = std::to_string(i % zones);
        const std::string rack =
            zone + "-" + std::to_string(i / zones / workers_per_rack);
        workers.push_back({worker_id("w" + std::to_string(i)), zone_id(zone),
                           rack_id(rack), 8, cores, 262144, "127.0.0.1:1"});
    }
    return workers;
}

std::vector<worker> without_zone(std::vector<worker> workers,
                                 const std::string& zone)
{
    std::erase_if(workers, [&](const worker& each)
                  { return each.m_zone.str() == zone; });
    return workers;
}

// Guards against delivered guarantees that do not fit on the workers, also
// after the loss of an availability zone.
TEST(settings_schema, the_delivered_guarantees_fit_on_the_workers)
{
    struct deployment
    {
        const char* m_file;
        const char* m_region;
        std::uint32_t m_workers;
        std::uint32_t m_cores;
    };
    for (const deployment& each :
         {deployment{"kovacsmuhely", "dunakanyar", 50, 64},
          deployment{"kovacsmuhely_demo", "dunakanyar", 8, 64},
          deployment{"etikettwerk", "ch-mittelland", 50, 128},
          deployment{"etikettwerk_demo", "ch-mittelland", 8, 128}})
    {
        const auto settings = resolve_settings(
            read_file(std::string("demo/settings/") + each.m_file + ".json"),
            region_id(each.m_region), 1);
        ASSERT_TRUE(succeeded(settings)) << error_of(settings).m_message;
        const auto workers = make_workers(each.m_workers, each.m_cores);
        EXPECT_EQ(value_of(settings).m_accounts.size(), 4u);
        EXPECT_TRUE(check_guarantees(value_of(settings), workers).empty())
            << each.m_file;
        for (const char* zone : {"0", "1", "2"})
        {
            for (const guarantee_shortfall& lacking : check_guarantees(
                     value_of(settings), without_zone(workers, zone)))
            {
                ADD_FAILURE() << each.m_file << " without zone " << zone << ": "
                              << describe(lacking);
            }
        }
    }
}

} // namespace
} // namespace kingcuprudder
