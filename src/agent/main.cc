#include "src/agent/daemon.h"
#include "src/process/program.h"

using namespace swiftloft;

int main(int argc, char** argv)
{
    return process::runDaemon(argc, argv, "swiftloft-agent", "The agent in a backend server's slot. All requests to the engine pass through it.",
        [](process::ProcessConfig config, Incarnation incarnation) {
            if (!config.backendServer || !config.rpc)
                throw Exception({ ErrorCode::MalformedInput, "an agent needs the keys 'backend-server' and 'rpc' in section '[process]'" });
            agent::Daemon daemon(std::move(config), incarnation);
            daemon.run();
        });
}
