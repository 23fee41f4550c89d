/// @file Prints the reference table of all settings that docs/CONFIGURATION.md contains.
#include <iostream>

#include "snipevalve/settings/settings.hpp"

int main()
{
    std::cout << snipevalve::settingsReference();
    return 0;
}
