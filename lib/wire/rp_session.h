/* One authenticated connection between two processes, without I/O.
 *
 * A frame is a 4-byte big-endian length of what follows, a MAC, and a
 * message. The MAC covers the key, the sender's direction, both sides'
 * nonces, the frame's number on this connection and the body, so a frame
 * can be neither forged nor replayed, here or on another connection. The
 * first frame of each side is a hello with its nonce; it is covered by the
 * key and by the nonces known so far. A peer counts as authenticated with
 * its first good frame that covers our own nonce.
 *
 * Feed received bytes with RpSession_Receive, take messages out with
 * RpSession_Next, and put frames into a buffer with RpSession_Send.
 */
#ifndef RP_SESSION_H
#define RP_SESSION_H

#include <glib.h>
#include <stdbool.h>

#include "rp_counters.h"
#include "rp_msg.h"

#define RP_FRAME_MAX (8u << 20)          /* bytes of one frame */
#define RP_FRAME_UNAUTH_MAX (128u << 10) /* bytes before authentication */
#define RP_MAC_SIZE 16                   /* bytes */
#define RP_KEY_MIN 16                    /* bytes of a shared key */
#define RP_KEY_MAX 256                   /* bytes of a shared key */

/* Shared keys: the first signs, every one verifies, so that a key can be
 * replaced while both are in use. */
struct rp_keyring {
    struct rp_str key[2];
    size_t count;
};

struct rp_session;

enum rp_session_result {
    RP_SESSION_MESSAGE, /* *msg holds a message; clear it */
    RP_SESSION_WAIT,    /* more bytes are needed */
    RP_SESSION_FAILED   /* *reason says why; close the connection */
};

/* A session of the side that opened the connection or accepted it.
 * `keyring` is borrowed. `nonce` is fresh random bytes. */
struct rp_session *RpSession_Create(const struct rp_keyring *keyring,
                                    bool opened_by_us,
                                    const uint8_t nonce[RP_NONCE_SIZE]);

void RpSession_Free(struct rp_session *session);

/* Adds received bytes. */
void RpSession_Receive(struct rp_session *session, struct rp_str bytes);

/* Takes the next message. A hello is returned too, once, as the first. */
enum rp_session_result RpSession_Next(struct rp_session *session,
                                      struct rp_msg *msg,
                                      enum rp_counter *reason);

/* Appends `msg` as a frame to `out`. A hello's nonce is filled in here. */
void RpSession_Send(struct rp_session *session, const struct rp_msg *msg,
                    GString *out);

/* Whether the peer has proved that it holds a key on this connection. */
bool RpSession_IsAuthenticated(const struct rp_session *session);

#endif
