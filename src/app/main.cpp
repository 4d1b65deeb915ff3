#include <iostream>
#include <string_view>

int main(int argc, char **argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "--version") {
        std::cout << "bulrushgap " << BULRUSHGAP_VERSION << '\n';
        return 0;
    }
    std::cerr << "usage: bulrushgap COMMAND [OPTIONS]\n";
    return 2;
}
