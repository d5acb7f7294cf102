#include "options.h"

#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <vector>

namespace chivewharf::testing_support {

std::map<std::string, std::string> read_options(int argc, char** argv,
                                                const std::map<std::string, std::string>& defaults)
{
    std::vector<option> table;
    table.reserve(defaults.size() + 1);
    for (const auto& [name, value] : defaults)
        table.push_back({name.c_str(), required_argument, nullptr, 0});
    table.push_back({nullptr, 0, nullptr, 0});
    std::map<std::string, std::string> values = defaults;
    int index = 0;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", table.data(), &index)) == 0)
        values[table[static_cast<std::size_t>(index)].name] = optarg;
    if (found != -1 || optind != argc) {
        std::cerr << "usage: " << argv[0];
        for (const auto& [name, value] : defaults)
            std::cerr << " [--" << name << ' ' << (value.empty() ? "VALUE" : value) << ']';
        std::cerr << '\n';
        std::exit(2);
    }
    return values;
}

} // namespace chivewharf::testing_support
