#include "app/Commands.h"

#include <string>
#include <vector>

int main(int argc, char **argv)
{
    return bulrushgap::runCommand(std::vector<std::string>(argv + 1, argv + argc));
}
