// Receives signals with sigwait, so that no signal handler interrupts other code.
#include "savoryrelay/transport/process/signals.h"

#include <pthread.h>

namespace savoryrelay::transport {

process_signals::process_signals() {
    sigemptyset(&m_signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&m_signals, signal);
    }
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);

    // Without this, writing to a connection that the peer has closed ends the process.
    std::signal(SIGPIPE, SIG_IGN);
}

signal_action process_signals::next() {
    int received = 0;
    while (sigwait(&m_signals, &received) != 0) {
    }
    return received == SIGHUP ? signal_action::reload : signal_action::stop;
}

void process_signals::wait() {
    while (next() != signal_action::stop) {
    }
}

} // namespace savoryrelay::transport
