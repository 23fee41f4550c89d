/// @file Prints the table of all settings as docs/CONFIGURATION.md holds it.
#include <iostream>

#include "snipevalve/settings/settings.hpp"

int main()
{
    std::cout << snipevalve::settingsReference();
    return 0;
}
