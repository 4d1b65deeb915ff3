#include "standin.h"

#include <iostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && arguments[0] == "--version") {
        std::cout << "bulrushgap " << BULRUSHGAP_VERSION << '\n';
        return 0;
    }
    if (arguments.size() >= 2 && arguments[0] == "standin") {
        const auto rest = std::span(arguments).subspan(2);
        if (arguments[1] == "fabric")
            return bulrushgap::runFabricStandin(rest);
        if (arguments[1] == "upstream")
            return bulrushgap::runUpstreamStandin(rest);
        if (arguments[1] == "callers")
            return bulrushgap::runCallersStandin(rest);
    }
    std::cerr << "usage: bulrushgap COMMAND [OPTIONS]\n";
    return 2;
}
