#include "src/entry/daemon.h"
#include "src/process/program.h"

using namespace swiftloft;

int main(int argc, char** argv)
{
    return process::runDaemon(argc, argv, "swiftloft-entry", "An entry instance: takes client requests and hands them to backend servers.",
        [](process::ProcessConfig config, Incarnation incarnation) {
            entry::Daemon daemon(std::move(config), incarnation);
            daemon.run();
        });
}
