#include "snipevalve/placement_app/placement_process.hpp"

int main(int argc, char **argv)
{
    snipevalve::Program program;
    program.name = "snipevalve-placement";
    program.description = "Decides which server owns which keys, and relays configuration and tables.";
    program.run = [](const snipevalve::Settings &settings) {
        snipevalve::asio::io_context context(1);
        snipevalve::PlacementProcess process(context, settings);
        return process.run();
    };
    return snipevalve::runProgram(program, argc, argv);
}
