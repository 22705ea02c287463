#include "rp_session.h"

#include <assert.h>
#include <string.h>

#include "rp_bytes.h"

#define LENGTH_SIZE 4
#define DIGEST_SIZE 32 /* of SHA-256 */

/* Each direction has its own frame numbers and marker. */
struct half {
    uint8_t nonce[RP_NONCE_SIZE];
    bool has_nonce;
    uint8_t marker;
    uint64_t frames;
};

struct rp_session {
    const struct rp_keyring *keyring;
    struct half ours;
    struct half theirs;
    bool authenticated;
    GString *input;
};

struct rp_session *
RpSession_Create(const struct rp_keyring *keyring, bool opened_by_us,
                 const uint8_t nonce[RP_NONCE_SIZE])
{
    struct rp_session *session = g_new0(struct rp_session, 1);

    assert(keyring->count >= 1);
    session->keyring = keyring;
    memcpy(session->ours.nonce, nonce, RP_NONCE_SIZE);
    session->ours.has_nonce = true;
    session->ours.marker = opened_by_us ? 'o' : 'a';
    session->theirs.marker = opened_by_us ? 'a' : 'o';
    session->input = g_string_new(NULL);
    return session;
}

void
RpSession_Free(struct rp_session *session)
{
    if (session) {
        g_string_free(session->input, TRUE);
        g_free(session);
    }
}

void
RpSession_Receive(struct rp_session *session, struct rp_str bytes)
{
    g_string_append_len(session->input, bytes.data, (gssize)bytes.len);
}

/* Writes the MAC of a frame that `from` sends to `to`. The opener's hello
 * is sent before the acceptor's nonce is known and does not cover it. */
static void
compute_mac(struct rp_str key, const struct half *from, const struct half *to,
            bool cover_receiver, struct rp_str body, uint8_t mac[RP_MAC_SIZE])
{
    GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)key.data,
                             key.len);
    uint8_t number[8];
    uint8_t digest[DIGEST_SIZE];
    gsize digest_len = sizeof digest;

    RpBytes_Put64(number, from->frames);
    g_hmac_update(hmac, &from->marker, 1);
    g_hmac_update(hmac, number, sizeof number);
    g_hmac_update(hmac, from->nonce, RP_NONCE_SIZE);
    if (cover_receiver) {
        g_hmac_update(hmac, to->nonce, RP_NONCE_SIZE);
    }
    g_hmac_update(hmac, (const guchar *)body.data, (gssize)body.len);
    g_hmac_get_digest(hmac, digest, &digest_len);
    g_hmac_unref(hmac);
    memcpy(mac, digest, RP_MAC_SIZE);
}

static bool
mac_is_good(struct rp_session *session, const uint8_t *mac, struct rp_str body)
{
    bool hello_of_opener = session->theirs.frames == 0 &&
                           session->theirs.marker == 'o';

    for (size_t i = 0; i < session->keyring->count; i++) {
        uint8_t expected[RP_MAC_SIZE];
        uint8_t difference = 0;
        compute_mac(session->keyring->key[i], &session->theirs, &session->ours,
                    !hello_of_opener, body, expected);
        for (size_t j = 0; j < RP_MAC_SIZE; j++) {
            difference |= expected[j] ^ mac[j];
        }
        if (difference == 0) {
            return true;
        }
    }
    return false;
}

/* Takes the peer's nonce out of its hello, the only frame whose body is
 * decoded before its MAC can be checked. */
static bool
learn_nonce(struct rp_session *session, struct rp_str body)
{
    struct rp_msg hello;

    if (!RpMsg_Decode(body, &hello)) {
        return false;
    }
    bool good = hello.type == RP_MSG_HELLO;
    if (good) {
        memcpy(session->theirs.nonce, hello.hello.nonce, RP_NONCE_SIZE);
        session->theirs.has_nonce = true;
    }
    RpMsg_Clear(&hello);
    return good;
}

/* Checks one frame and decodes its message. */
static bool
open_frame(struct rp_session *session, struct rp_str frame, struct rp_msg *msg,
           enum rp_counter *reason)
{
    const uint8_t *mac = (const uint8_t *)frame.data;
    struct rp_str body = {.data = frame.data + RP_MAC_SIZE,
                          .len = frame.len - RP_MAC_SIZE};

    if (!session->theirs.has_nonce && !learn_nonce(session, body)) {
        *reason = RP_COUNT_FRAME_BAD_BODY;
        return false;
    }
    if (!mac_is_good(session, mac, body)) {
        *reason = RP_COUNT_FRAME_BAD_MAC;
        return false;
    }
    if (session->theirs.frames > 0 || session->theirs.marker == 'a') {
        session->authenticated = true;
    }
    session->theirs.frames++;
    if (!RpMsg_Decode(body, msg)) {
        *reason = RP_COUNT_FRAME_BAD_BODY;
        return false;
    }
    if ((msg->type == RP_MSG_HELLO) != (session->theirs.frames == 1)) {
        RpMsg_Clear(msg);
        *reason = RP_COUNT_FRAME_UNEXPECTED;
        return false;
    }
    return true;
}

enum rp_session_result
RpSession_Next(struct rp_session *session, struct rp_msg *msg,
               enum rp_counter *reason)
{
    const GString *input = session->input;

    memset(msg, 0, sizeof *msg);
    if (input->len < LENGTH_SIZE) {
        return RP_SESSION_WAIT;
    }
    uint32_t length = RpBytes_Get32((const uint8_t *)input->str);
    uint32_t limit = session->authenticated ? RP_FRAME_MAX
                                            : RP_FRAME_UNAUTH_MAX;
    if (length > limit || length < RP_MAC_SIZE) {
        *reason = RP_COUNT_FRAME_OVER_LIMIT;
        return RP_SESSION_FAILED;
    }
    if (input->len < LENGTH_SIZE + (size_t)length) {
        return RP_SESSION_WAIT;
    }
    struct rp_str frame = {.data = input->str + LENGTH_SIZE, .len = length};
    bool good = open_frame(session, frame, msg, reason);
    g_string_erase(session->input, 0, (gssize)(LENGTH_SIZE + length));
    return good ? RP_SESSION_MESSAGE : RP_SESSION_FAILED;
}

void
RpSession_Send(struct rp_session *session, const struct rp_msg *msg,
               GString *out)
{
    struct rp_msg copy = *msg;
    GString *body = g_string_new(NULL);
    uint8_t length[LENGTH_SIZE];
    uint8_t mac[RP_MAC_SIZE];

    assert((msg->type == RP_MSG_HELLO) == (session->ours.frames == 0));
    if (copy.type == RP_MSG_HELLO) {
        memcpy(copy.hello.nonce, session->ours.nonce, RP_NONCE_SIZE);
    }
    RpMsg_Encode(&copy, body);
    compute_mac(session->keyring->key[0], &session->ours, &session->theirs,
                session->theirs.has_nonce,
                (struct rp_str){.data = body->str, .len = body->len}, mac);
    session->ours.frames++;
    RpBytes_Put32(length, (uint32_t)(body->len + RP_MAC_SIZE));
    g_string_append_len(out, (const char *)length, LENGTH_SIZE);
    g_string_append_len(out, (const char *)mac, RP_MAC_SIZE);
    g_string_append_len(out, body->str, (gssize)body->len);
    g_string_free(body, TRUE);
}

bool
RpSession_IsAuthenticated(const struct rp_session *session)
{
    return session->authenticated;
}
