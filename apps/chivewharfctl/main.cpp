// Command-line tool for operators.

#include <iostream>
#include <operator_cli/program.h>

int main(int argc, char** argv)
{
    return chivewharf::operator_cli::run_program({argv + 1, argv + argc}, std::cout, std::cerr);
}
