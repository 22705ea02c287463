/* Frames and authenticates the messages of one connection between two
 * processes. It does no I/O.
 *
 * A frame consists of a 4-byte big-endian length of the rest, a MAC, and an
 * encoded message (the body). The MAC is an HMAC-SHA256 with the shared key,
 * cut to RP_MAC_SIZE, over the direction, the number of the frame on this
 * connection, the nonces of both sides, and the body. So a frame can neither
 * be forged nor be replayed on this or any other connection.
 *
 * The first frame of each side is a hello with its nonce. Its MAC covers the
 * nonces that are known at that time: the hello of the opening side is sent
 * before the accepting side's nonce is known. A peer is authenticated by its
 * first valid frame whose MAC covers our own nonce.
 *
 * RpSession_Receive takes received bytes, RpSession_Next returns the messages
 * in them, and RpSession_Send appends frames to a buffer.
 */
#ifndef RP_SESSION_H
#define RP_SESSION_H

#include <glib.h>
#include <stdbool.h>

#include "rp_counters.h"
#include "rp_msg.h"

#define RP_FRAME_MAX (8u << 20)          /* bytes, MAC and body */
#define RP_FRAME_UNAUTH_MAX (128u << 10) /* bytes before authentication */
#define RP_MAC_SIZE 16                   /* bytes */
#define RP_KEY_MIN 16                    /* bytes of a shared key */
#define RP_KEY_MAX 256                   /* bytes of a shared key */

/* Shared keys. The first key signs, and all keys verify, so that a key can be
 * replaced while processes with the old and with the new one are running. */
struct rp_keyring {
    struct rp_str key[2];
    size_t count;
};

struct rp_session;

enum rp_session_result {
    RP_SESSION_MESSAGE, /* *msg holds a message; the caller clears it */
    RP_SESSION_WAIT,    /* the next frame is not complete yet */
    RP_SESSION_FAILED   /* *reason is set; close the connection */
};

/* Creates a session for the side that opened the connection
 * (`opened_by_us`) or for the side that accepted it. `keyring` is borrowed and
 * holds at least one key. `nonce` must be random and new for each
 * connection. Free it with RpSession_Free. */
struct rp_session *RpSession_Create(const struct rp_keyring *keyring,
                                    bool opened_by_us,
                                    const uint8_t nonce[RP_NONCE_SIZE]);

/* Frees a session; `session` may be NULL. */
void RpSession_Free(struct rp_session *session);

/* Adds received bytes to the input. */
void RpSession_Receive(struct rp_session *session, struct rp_str bytes);

/* Takes the next message from the input. The first one is the peer's hello. */
enum rp_session_result RpSession_Next(struct rp_session *session,
                                      struct rp_msg *msg,
                                      enum rp_counter *reason);

/* Appends `msg` as a frame to `out`. The first message must be a hello, and no
 * later one may be; its nonce is filled in here. */
void RpSession_Send(struct rp_session *session, const struct rp_msg *msg,
                    GString *out);

/* Returns whether the peer has proved on this connection that it holds one of
 * the keys. */
bool RpSession_IsAuthenticated(const struct rp_session *session);

#endif
