/* Errors of accept, pauses and the rate of log lines. */
#include "rp_accept.h"

#include <errno.h>

#include "rp_time.h"

/* Until the next try. A connection that is closed ends the pause earlier. */
#define PAUSE_US (100 * RP_US_PER_MS)
#define LOG_INTERVAL_US RP_US_PER_SECOND

enum rp_accept_action
RpAccept_Judge(int error, enum rp_counter *reason)
{
    switch (error) {
    case EAGAIN:
#if EWOULDBLOCK != EAGAIN
    case EWOULDBLOCK:
#endif
        return RP_ACCEPT_WAIT;
    /* The connection has failed before it was accepted. Linux passes on the
     * errors that are pending on it: see accept(2). */
    case EINTR:
    case ECONNABORTED:
    case ECONNRESET:
    case EHOSTDOWN:
    case EHOSTUNREACH:
    case ENETDOWN:
    case ENETUNREACH:
    case ENONET:
    case ENOPROTOOPT:
    case EOPNOTSUPP:
    case EPERM:
    case EPROTO:
    case ETIMEDOUT:
        *reason = RP_COUNT_ACCEPT_ABORTED;
        return RP_ACCEPT_NEXT;
    case EMFILE:
    case ENFILE:
        *reason = RP_COUNT_ACCEPT_NO_DESCRIPTOR;
        return RP_ACCEPT_PAUSE;
    case ENOBUFS:
    case ENOMEM:
        *reason = RP_COUNT_ACCEPT_NO_MEMORY;
        return RP_ACCEPT_PAUSE;
    default:
        *reason = RP_COUNT_ACCEPT_BROKEN;
        return RP_ACCEPT_REOPEN;
    }
}

void
RpAccept_Pause(struct rp_accept *accept, int64_t now)
{
    accept->paused_until = now + PAUSE_US;
}

bool
RpAccept_MayLog(struct rp_accept *accept, int64_t now)
{
    if (now < accept->log_deadline) {
        return false;
    }
    accept->log_deadline = now + LOG_INTERVAL_US;
    accept->is_logged = true;
    return true;
}

bool
RpAccept_Resume(struct rp_accept *accept, int64_t now)
{
    if (accept->paused_until == 0 || now < accept->paused_until) {
        return false;
    }
    accept->paused_until = 0;
    return true;
}

bool
RpAccept_Succeed(struct rp_accept *accept)
{
    bool was_logged = accept->is_logged;

    accept->is_logged = false;
    return was_logged;
}
