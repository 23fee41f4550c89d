#include "snipevalve/admin/admin_process.hpp"

int main(int argc, char **argv)
{
    snipevalve::Program program;
    program.name = "snipevalve-admin";
    program.description = "The administration API: create, read, change, delete and watch resources.";
    program.run = [](const snipevalve::Settings &settings) {
        snipevalve::asio::io_context context(1);
        snipevalve::AdminProcess process(context, settings);
        return process.run();
    };
    return snipevalve::runProgram(program, argc, argv);
}
