// Resets the sockets that the process has open.
#include "process_crash.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

namespace savoryrelay::standin {

void reset_connections() {
    std::vector<int> descriptors;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        descriptors.push_back(std::stoi(entry.path().filename().string()));
    }
    for (const int descriptor : descriptors) {
        sockaddr_storage peer{};
        socklen_t size = sizeof(peer);
        // A listener and a descriptor that is no socket have no peer.
        if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
            peer.ss_family != AF_INET) {
            continue;
        }
        // Dissolves the association, for which TCP sends a reset. The descriptor remains
        // open, because another thread may use it.
        sockaddr no_peer{};
        no_peer.sa_family = AF_UNSPEC;
        static_cast<void>(::connect(descriptor, &no_peer, sizeof(no_peer)));
    }
}

void crash_process() {
    reset_connections();
    std::_Exit(EXIT_FAILURE);
}

} // namespace savoryrelay::standin
