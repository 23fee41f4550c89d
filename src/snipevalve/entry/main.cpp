#include "snipevalve/entry/entry_process.hpp"

int main(int argc, char **argv)
{
    snipevalve::Program program;
    program.name = "snipevalve-entry";
    program.description = "Accepts callers' requests and sends each to the server that owns its key.";
    program.run = [](const snipevalve::Settings &settings) {
        snipevalve::asio::io_context context(1);
        snipevalve::EntryProcess process(context, settings);
        return process.run();
    };
    return snipevalve::runProgram(program, argc, argv);
}
