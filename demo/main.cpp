#include <demo/scenario.hpp>
#include <stand_ins/wait_for_signal.hpp>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

using kingcuprudder::demo::deployment;

deployment kovacsmuhely()
{
    return {
        "kovacsmuhely",  "dunakanyar", {"visegrad", "szentendre"}, "foglalo",
        "pest-korhazak", "roster",     "publish_roster",           64};
}

deployment etikettwerk()
{
    return {"etikettwerk",
            "ch-mittelland",
            {"mit-bern", "mit-olten"},
            "label-calc",
            "aare-lebensmittel",
            "label_batch",
            "price_release",
            128};
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        throw std::runtime_error("cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        TCLAP::CmdLine command_line(
            "Runs a gang, a request that is not idempotent and an impossible "
            "job on a local deployment, kills the region's owner while the "
            "gang runs, and checks what ran.");
        TCLAP::ValueArg<std::string> binaries(
            "", "binaries", "Folder of the programs.", false, "build/bin",
            "folder", command_line);
        TCLAP::ValueArg<std::string> work(
            "", "work", "Folder for logs and settings.", false, "build/demo",
            "folder", command_line);
        TCLAP::ValueArg<std::string> settings(
            "", "settings", "Folder of settings trees.", false, "demo/settings",
            "folder", command_line);
        TCLAP::SwitchArg keep_running(
            "", "keep-running",
            "Only start the first deployment, print its addresses and leave it "
            "running until SIGINT or SIGTERM.",
            command_line);
        command_line.parse(argc, argv);

        if (keep_running.getValue())
        {
            // Block the signals before any thread starts, so that only sigwait
            // receives them.
            kingcuprudder::stand_ins::block_termination_signals();
            const deployment names = kovacsmuhely();
            kingcuprudder::demo::scenario scenario(
                names,
                read_file(settings.getValue() + "/" + names.m_name +
                          "_demo.json"),
                binaries.getValue(), work.getValue() + "/" + names.m_name);
            scenario.start(std::cout);
            kingcuprudder::stand_ins::wait_for_termination_signal();
            return 0;
        }

        bool all_correct = true;
        for (const deployment& each : {kovacsmuhely(), etikettwerk()})
        {
            const std::string tree = read_file(settings.getValue() + "/" +
                                               each.m_name + "_demo.json");
            kingcuprudder::demo::scenario scenario(
                each, tree, binaries.getValue(),
                work.getValue() + "/" + each.m_name);
            all_correct = scenario.run(std::cout) && all_correct;
        }
        return all_correct ? 0 : 1;
    }
    catch (const std::exception& problem)
    {
        std::cerr << "kcr_demo: " << problem.what() << "\n";
        return 1;
    }
}
