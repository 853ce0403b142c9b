// Signals by sigwait, so that no handler runs in the middle of other code.
#include "savoryrelay/transport/process/signals.h"

#include <pthread.h>

namespace savoryrelay::transport {

process_signals::process_signals() {
    sigemptyset(&m_signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&m_signals, signal);
    }
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);

    // A peer that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

process_request process_signals::next() {
    int received = 0;
    while (sigwait(&m_signals, &received) != 0) {
    }
    return received == SIGHUP ? process_request::reload : process_request::stop;
}

void process_signals::wait() {
    while (next() != process_request::stop) {
    }
}

} // namespace savoryrelay::transport
