#include "BenchOptions.h"

#include <boost/program_options.hpp>

namespace bulrushgap::bench {

BenchOptions parseBenchOptions(std::span<const std::string> arguments, bool plots)
{
    namespace options = boost::program_options;
    BenchOptions result;
    options::options_description description("Options");
    description.add_options()("seed", options::value(&result.seed), "seed of the run")(
        "json", options::bool_switch(&result.json), "print JSON");
    if (plots)
        description.add_options()("plot", options::value(&result.plotDirectory),
                                  "directory for plots");
    options::variables_map values;
    options::store(options::command_line_parser({arguments.begin(), arguments.end()})
                       .options(description)
                       .positional({})
                       .run(),
                   values);
    options::notify(values);
    return result;
}

} // namespace bulrushgap::bench
